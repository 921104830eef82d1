package bbrwork

import (
	"net/netip"
	"slices"
	"time"
)

// Incarnation identifies an upstream between two of its restarts. The same ID with
// another StartMillis is a restarted upstream, which has no run and no state of
// the previous incarnation.
type Incarnation struct {
	ID string
	// StartMillis is when the incarnation started, in milliseconds since the Unix
	// epoch, as the upstream reports it; 0 if it reports none. The tag keeps the name
	// under which upstreams are stored.
	StartMillis int64 `json:"Born"`
}

// Upstream is one incarnation of an instance, as it registers itself. Owners store
// it as JSON; the tags keep the names under which it is stored.
type Upstream struct {
	Incarnation
	Service  string
	Address  netip.AddrPort
	Zone     string
	Capacity Resources `json:"Room"`
	Labels   []string
	Draining bool
	// LeavesIn is the shortest time until a draining upstream leaves; 0 if unknown.
	LeavesIn time.Duration `json:"Leaving"`
}

// HasLabel reports whether the upstream has the label. Every upstream has the empty
// label.
func (u *Upstream) HasLabel(label string) bool {
	return label == "" || slices.Contains(u.Labels, label)
}

// Rack returns the last label, which names the rack; empty if there is none.
func (u *Upstream) Rack() string {
	if len(u.Labels) == 0 {
		return ""
	}
	return u.Labels[len(u.Labels)-1]
}
