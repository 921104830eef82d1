package bbrview

import (
	"maps"
	"net/netip"
	"slices"

	"github.com/bluebellridge/bluebellridge/internal/base/bbroperation"
)

// KeyPrefix is the prefix of the platform's keys under which the views are stored,
// one document for each zone.
const KeyPrefix = "zones/"

// View is the document of one availability zone.
type View struct {
	Zone string `json:"zone"`
	// Entries contains the registered senders by their peer address. No process
	// sends to an upstream of the zone without being listed here.
	Entries map[netip.AddrPort]Entry `json:"entries"`
	// Departed contains, by peer address, the entries that were removed without
	// having acknowledged that nothing is in flight. They keep their shares until
	// the last request that they may have sent has passed its deadline.
	Departed map[netip.AddrPort]Departed `json:"departed,omitempty"`
	// Instances contains the zone's upstreams by ID.
	Instances map[string]Instance `json:"instances"`
	// Operations contains the most recently applied operation IDs, oldest first.
	Operations bbroperation.Log `json:"operations"`
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
