package bbrplatform

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/bluebellridge/bluebellridge/internal/platform/bbrlist"
)

// Fleet is the platform's list of instances. Readers see its state of Lag ago.
type Fleet struct {
	// Lag is how far listings lag behind the state.
	Lag time.Duration
	// RebootTime is how long a reboot takes.
	RebootTime time.Duration
	// OnReboot, if not nil, is called once for each reboot, when it starts. It is
	// called with the fleet's lock held and must not call its methods.
	OnReboot func(instance bbrlist.Instance)

	mu        sync.Mutex
	instances map[string]bbrlist.Instance
	reboots   map[string]reboot
	// history has the snapshots that listings may still need, the oldest first.
	history []snapshot
	// acceptedOperations has the IDs of the reboots that were started.
	acceptedOperations map[string]bool
}

// reboot is a reboot in progress.
type reboot struct {
	operation string
	endTime   time.Time
}

// snapshot is the state of the instances from a time on.
type snapshot struct {
	at        time.Time
	instances map[string]bbrlist.Instance
}

// Put adds or replaces an instance.
func (f *Fleet) Put(now time.Time, instance bbrlist.Instance) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.init()
	if instance.State == "" {
		instance.State = bbrlist.StateLive
	}
	f.instances[instance.ID] = instance
	f.recordSnapshot(now)
}

// Remove removes an instance.
func (f *Fleet) Remove(now time.Time, id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.init()
	delete(f.instances, id)
	f.recordSnapshot(now)
}

// init allocates the maps of a zero Fleet. The caller holds mu.
func (f *Fleet) init() {
	if f.instances != nil {
		return
	}
	f.instances = make(map[string]bbrlist.Instance)
	f.reboots = make(map[string]reboot)
	f.acceptedOperations = make(map[string]bool)
}

// recordSnapshot appends the present state to the history and drops the snapshots
// that no listing can need any more. The caller holds mu.
func (f *Fleet) recordSnapshot(now time.Time) {
	f.history = append(f.history, snapshot{at: now, instances: maps.Clone(f.instances)})
	cutoff := now.Add(-f.Lag)
	for len(f.history) > 1 && !f.history[1].at.After(cutoff) {
		f.history = f.history[1:]
	}
}

// completeReboots completes the reboots that are due. The caller holds mu.
func (f *Fleet) completeReboots(now time.Time) {
	f.init()
	for id, r := range f.reboots {
		if now.Before(r.endTime) {
			continue
		}
		delete(f.reboots, id)
		instance := f.instances[id]
		instance.State = bbrlist.StateLive
		instance.LastReboot = r.operation
		f.instances[id] = instance
		f.recordSnapshot(now)
	}
}

// List returns the zone's instances as they were Lag ago, sorted by ID; those of all
// zones if zone is empty.
func (f *Fleet) List(now time.Time, zone string) []bbrlist.Instance {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.completeReboots(now)
	visible := snapshot{}
	cutoff := now.Add(-f.Lag)
	for _, s := range f.history {
		if !s.at.After(cutoff) {
			visible = s
		}
	}
	rows := slices.SortedFunc(maps.Values(visible.instances), func(a, b bbrlist.Instance) int {
		return strings.Compare(a.ID, b.ID)
	})
	return slices.DeleteFunc(rows, func(i bbrlist.Instance) bool { return zone != "" && i.Zone != zone })
}

// Reboot starts a reboot unless the operation was accepted before, and reports
// whether the instance exists.
func (f *Fleet) Reboot(now time.Time, id, operation string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.completeReboots(now)
	instance, ok := f.instances[id]
	if !ok {
		return false
	}
	if f.acceptedOperations[operation] {
		return true
	}
	f.acceptedOperations[operation] = true
	instance.State = bbrlist.StateRebooting
	f.instances[id] = instance
	f.reboots[id] = reboot{operation: operation, endTime: now.Add(f.RebootTime)}
	f.recordSnapshot(now)
	if f.OnReboot != nil {
		f.OnReboot(instance)
	}
	return true
}
