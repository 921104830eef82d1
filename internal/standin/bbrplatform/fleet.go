package bbrplatform

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/bluebellridge/bluebellridge/internal/platform/bbrlist"
)

// Fleet is the platform's knowledge of its instances. Readers see it as it was
// Lag ago.
type Fleet struct {
	// Lag is how far a listing is behind.
	Lag time.Duration
	// RebootTime is how long an instance is away for a reboot.
	RebootTime time.Duration
	// OnReboot is called once for each reboot that is carried out.
	OnReboot func(instance bbrlist.Instance)

	mu                 sync.Mutex
	instances          map[string]bbrlist.Instance
	reboots            map[string]reboot
	history            []snapshot
	acceptedOperations map[string]bool
}

type reboot struct {
	operation string
	endTime   time.Time
}

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

// Remove takes an instance away.
func (f *Fleet) Remove(now time.Time, id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.init()
	delete(f.instances, id)
	f.recordSnapshot(now)
}

func (f *Fleet) init() {
	if f.instances != nil {
		return
	}
	f.instances = make(map[string]bbrlist.Instance)
	f.reboots = make(map[string]reboot)
	f.acceptedOperations = make(map[string]bool)
}

// recordSnapshot keeps a snapshot for the lagging readers. The caller holds mu.
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

// List returns the zone's instances as they were Lag ago.
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

// Reboot starts a reboot unless the operation was taken before, and reports
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
