package bbrwork

import (
	"net/netip"
	"slices"
	"time"
)

// Incarnation identifies one life of an upstream: the same ID with another Born is a
// restart that holds and knows nothing of before.
type Incarnation struct {
	ID string
	// StartMillis is the start of the life in milliseconds since 1970, as the upstream
	// tells it; 0 where it tells none.
	StartMillis int64 `json:"Born"`
}

// Upstream is one life of an instance, as it registers itself.
type Upstream struct {
	Incarnation
	Service  string
	Address  netip.AddrPort
	Zone     string
	Capacity Resources `json:"Room"`
	Labels   []string
	Draining bool
	// LeavesIn is the least time until a draining upstream leaves; 0 where
	// unknown.
	LeavesIn time.Duration `json:"Leaving"`
}

// HasLabel tells whether the upstream has the label; the empty label is had by
// all.
func (u *Upstream) HasLabel(label string) bool {
	return label == "" || slices.Contains(u.Labels, label)
}

// Rack returns the label that names the rack: the last one.
func (u *Upstream) Rack() string {
	if len(u.Labels) == 0 {
		return ""
	}
	return u.Labels[len(u.Labels)-1]
}

// RunOutcome tells in what way a run ended.
type RunOutcome uint8

// Ways in which a run ends.
const (
	OutcomeUnknown RunOutcome = iota
	OutcomeDone
	// OutcomeFailed is a failure of the work unit's own or of its upstream.
	OutcomeFailed
	OutcomeStopped
	// OutcomeLeaseExpired means that the upstream's lease ran out.
	OutcomeLeaseExpired
	// OutcomeGangBroken means that another member of the gang ended.
	OutcomeGangBroken
	// OutcomeGangIncomplete means that the other members of the gang did not come in time.
	OutcomeGangIncomplete
)

var outcomeNames = [...]string{"unknown", "done", "failed", "stopped", "lapsed", "broken", "alone"}

// String returns the word for logs.
func (outcome RunOutcome) String() string { return outcomeNames[outcome] }

// Run is a listed run of a work unit.
type Run struct {
	Unit   Unit
	Number int
	// Checkpoint is the newest one; empty for none.
	Checkpoint string
	// Percent is how much of the work is behind; 100 means that a lasting work
	// unit is at work.
	Percent int
	// TailLatency is the response time's tail of a serving work unit over the last half
	// second; a work unit that does not serve has none.
	TailLatency time.Duration
}

// RunEnd is a listed end of a run.
type RunEnd struct {
	// Sequence rises by one with each end of the upstream's life.
	Sequence   int64
	Unit       Unit
	Run        int
	Outcome    RunOutcome
	Checkpoint string
}

// Listing is what an upstream answers to a renewal of its lease.
type Listing struct {
	// Clock is the upstream's own steady clock.
	Clock       time.Duration
	StartMillis int64
	Running     []Run
	// Ended has the ends that were not acknowledged yet, at most 500.
	Ended []RunEnd
}
