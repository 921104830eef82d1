package bbrcode

// Outcome is what is known about whether the work of a request ran.
type Outcome uint8

const (
	// OutcomeUnknown is the zero value, so that an answer without an outcome never
	// claims more than is known.
	OutcomeUnknown Outcome = iota
	// OutcomeNotRun means that no byte of the request can have reached an upstream.
	OutcomeNotRun
	// OutcomeRan means that an upstream sent a complete response.
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

// ParseOutcome parses a Bbr-Outcome header. Any unexpected text is unknown.
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
