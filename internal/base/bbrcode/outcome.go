package bbrcode

// Outcome is what is known about whether the work of a request ran.
type Outcome uint8

const (
	// OutcomeUnknown is the zero value, so that an answer that nobody filled
	// in never claims more than is known.
	OutcomeUnknown Outcome = iota
	// OutcomeNotRun is given only where no byte of the request can have
	// reached an upstream.
	OutcomeNotRun
	// OutcomeRan means that an upstream answered and its answer was whole.
	OutcomeRan
)

// String returns the outcome as it appears in the Bbr-Outcome header.
func (o Outcome) String() string {
	switch o {
	case OutcomeNotRun:
		return "not-run"
	case OutcomeRan:
		return "ran"
	default:
		return "unknown"
	}
}

// ParseOutcome reads a Bbr-Outcome header. Anything unexpected is unknown.
func ParseOutcome(text string) Outcome {
	switch text {
	case "not-run":
		return OutcomeNotRun
	case "ran":
		return OutcomeRan
	default:
		return OutcomeUnknown
	}
}
