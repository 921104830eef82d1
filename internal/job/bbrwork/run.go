package bbrwork

import "time"

// RunOutcome is how a run ended.
type RunOutcome uint8

// The outcomes of a run.
const (
	OutcomeUnknown RunOutcome = iota
	OutcomeDone
	// OutcomeFailed is a failure of the work unit or of its upstream.
	OutcomeFailed
	OutcomeStopped
	// OutcomeLeaseExpired means that the lease of the upstream's runs expired.
	OutcomeLeaseExpired
	// OutcomeGangBroken means that the run of another member of the gang ended.
	OutcomeGangBroken
	// OutcomeGangIncomplete means that other members of the gang did not start in time.
	OutcomeGangIncomplete
)

var outcomeNames = [...]string{"unknown", "done", "failed", "stopped", "lapsed", "broken", "alone"}

// String returns the outcome's name for logs.
func (outcome RunOutcome) String() string { return outcomeNames[outcome] }

// Run is a run of a work unit, as its upstream reports it.
type Run struct {
	Unit Unit
	// Number distinguishes the runs of the work unit.
	Number int
	// Checkpoint is the newest checkpoint; empty for none.
	Checkpoint string
	// Percent is how much of the work is done. For a long-running work unit, 100 means
	// that it is at work.
	Percent int
	// TailLatency is the tail latency of a serving work unit over the last 500 ms; 0
	// for a work unit that does not serve.
	TailLatency time.Duration
}

// RunEnd is the end of a run, as its upstream reports it.
type RunEnd struct {
	// Sequence increases by one with each end within an incarnation of the upstream.
	Sequence int64
	Unit     Unit
	// Run is the number of the run.
	Run        int
	Outcome    RunOutcome
	Checkpoint string
}

// Listing is an upstream's answer to a lease renewal: its runs and those that ended.
type Listing struct {
	// Clock is the upstream's monotonic clock.
	Clock time.Duration
	// StartMillis identifies the incarnation that answered.
	StartMillis int64
	Running     []Run
	// Ended has the ends that are not acknowledged yet, at most maxListedEnds.
	Ended []RunEnd
}

// maxListedEnds is the number of ends that an upstream lists at once.
const maxListedEnds = 500

// MayBeContinued reports whether the upstream may have more ends than it listed. It lists
// them once these are acknowledged.
func (l *Listing) MayBeContinued() bool { return len(l.Ended) >= maxListedEnds }
