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

	mu        sync.Mutex
	instances map[string]bbrlist.Instance
	reboots   map[string]reboot
	history   []snapshot
	done      map[string]bool
}

type reboot struct {
	operation string
	ends      time.Time
}

type snapshot struct {
	at        time.Time
	instances map[string]bbrlist.Instance
}

// Put adds or replaces an instance.
func (f *Fleet) Put(now time.Time, instance bbrlist.Instance) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.prepare()
	if instance.State == "" {
		instance.State = bbrlist.StateLive
	}
	f.instances[instance.ID] = instance
	f.record(now)
}

// Remove takes an instance away.
func (f *Fleet) Remove(now time.Time, id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.prepare()
	delete(f.instances, id)
	f.record(now)
}

func (f *Fleet) prepare() {
	if f.instances != nil {
		return
	}
	f.instances = make(map[string]bbrlist.Instance)
	f.reboots = make(map[string]reboot)
	f.done = make(map[string]bool)
}

// record keeps a snapshot for the lagging readers. The caller holds mu.
func (f *Fleet) record(now time.Time) {
	f.history = append(f.history, snapshot{at: now, instances: maps.Clone(f.instances)})
	oldest := now.Add(-f.Lag)
	for len(f.history) > 1 && !f.history[1].at.After(oldest) {
		f.history = f.history[1:]
	}
}

// advance completes the reboots that are due. The caller holds mu.
func (f *Fleet) advance(now time.Time) {
	f.prepare()
	for id, r := range f.reboots {
		if now.Before(r.ends) {
			continue
		}
		delete(f.reboots, id)
		instance := f.instances[id]
		instance.State = bbrlist.StateLive
		instance.LastReboot = r.operation
		f.instances[id] = instance
		f.record(now)
	}
}

// List returns the zone's instances as they were Lag ago.
func (f *Fleet) List(now time.Time, zone string) []bbrlist.Instance {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.advance(now)
	visible := snapshot{}
	oldest := now.Add(-f.Lag)
	for _, s := range f.history {
		if !s.at.After(oldest) {
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
	f.advance(now)
	instance, ok := f.instances[id]
	if !ok {
		return false
	}
	if f.done[operation] {
		return true
	}
	f.done[operation] = true
	instance.State = bbrlist.StateRebooting
	f.instances[id] = instance
	f.reboots[id] = reboot{operation: operation, ends: now.Add(f.RebootTime)}
	f.record(now)
	if f.OnReboot != nil {
		f.OnReboot(instance)
	}
	return true
}
