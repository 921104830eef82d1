package bbrview

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/bluebellridge/bluebellridge/internal/base/bbroperation"
)

// KeyPrefix is where the platform keeps the views, one document a zone.
const KeyPrefix = "zones/"

// View is the document of one availability zone.
type View struct {
	Zone string `json:"zone"`
	// Entries are the registered senders by their peer address. No process
	// sends to an upstream of the zone without being listed here.
	Entries map[netip.AddrPort]Entry `json:"entries"`
	// Departed are the addresses of entries that were removed without having
	// said that nothing is in flight. Their share stays theirs until the last
	// request that they may have sent has passed its deadline.
	Departed map[netip.AddrPort]Departed `json:"departed,omitempty"`
	// Instances are the zone's upstreams by ID. Each has one pool.
	Instances map[string]Instance `json:"instances"`
	// Operations are the newest applied operation IDs, oldest first.
	Operations bbroperation.Log `json:"operations"`
}

// Entry is a registered entry daemon.
type Entry struct {
	Name string `json:"name"`
	// Incarnation is new at each start of a process.
	Incarnation string         `json:"incarnation"`
	Operators   netip.AddrPort `json:"operators"`
	// Active entries own a share of every slot and may confirm others. The
	// flag is set only at a version at which each other registered entry has
	// acknowledged a view that lists this one.
	Active bool `json:"active"`
	// SuspicionID is the unique ID of the mark that the entry does not answer,
	// or empty. A marked entry is no longer confirmed by anybody; when it sees
	// the mark itself, it stops sending and registers anew.
	SuspicionID string `json:"suspicion,omitempty"`
}

// Suspected reports whether the entry is marked.
func (e Entry) Suspected() bool { return e.SuspicionID != "" }

// Departed is an entry that was removed.
type Departed struct {
	Name string `json:"name"`
	// SuspicionID is the unique ID of the mark that led to the removal.
	SuspicionID string `json:"removal"`
}

// State is the state of an instance.
type State string

// States of an instance. Senders use an instance only while it is serving.
const (
	Serving   State = "serving"
	Draining  State = "draining"
	Drained   State = "drained"
	Rebooting State = "rebooting"
	Lost      State = "lost"
)

// Plan is what follows once an instance is drained.
type Plan string

// Plans of a drain.
const (
	// Hold keeps the instance drained until an operator resumes it.
	Hold Plan = "hold"
	// Reboot reboots the instance and returns it to its pool.
	Reboot Plan = "reboot"
	// Move reboots the instance and brings it to the target pool.
	Move Plan = "move"
)

// Instance is an upstream of the zone.
type Instance struct {
	ID          string         `json:"id"`
	Rack        string         `json:"rack"`
	Address     netip.AddrPort `json:"address"`
	Slots       int            `json:"slots"`
	Connections int            `json:"connections"`
	MemoryBytes int64          `json:"memoryBytes"`
	// Pool is the only pool of the instance. It changes only when a reboot
	// has completed.
	Pool  string `json:"pool"`
	State State  `json:"state"`
	Plan  Plan   `json:"plan,omitempty"`
	// Target is the pool that a move leads to.
	Target string `json:"target,omitempty"`
	// Operation is the ID of the command that took the instance out of
	// service. A reboot carries it, so that the platform reboots once.
	Operation string `json:"operation,omitempty"`
	// Reason says who or what asked for the present state.
	Reason string    `json:"reason,omitempty"`
	Since  time.Time `json:"since"`
}

// Clone returns a copy that shares no map or slice with v.
func (v View) Clone() View {
	clone := v
	clone.Entries = maps.Clone(v.Entries)
	clone.Departed = maps.Clone(v.Departed)
	clone.Instances = maps.Clone(v.Instances)
	clone.Operations = slices.Clone(v.Operations)
	return clone
}

// Applied reports whether the view records the operation.
func Applied(v *View, operation string) bool { return v.Operations.Has(operation) }
