package bbrfleet

import (
	"encoding/json"
	"time"
)

// registrar keeps the upstreams' registrations in the store up to date.
type registrar struct {
	fleet *Fleet
	// registered has the present registration of each worker.
	registered map[string]registration
}

// registration identifies the content of a registration. ID is empty if there is none.
type registration struct {
	id             string
	startMillis    int64
	missingPercent int
}

// registrationPrefix is the prefix of the keys of registrations.
const registrationPrefix = "servers/"

// registrationInterval is the interval at which the registrations are updated.
const registrationInterval = 100 * time.Millisecond

func (r *registrar) loop() {
	r.registered = make(map[string]registration)
	ticker := time.NewTicker(registrationInterval)
	defer ticker.Stop()
	for {
		select {
		case <-r.fleet.ctx.Done():
			return
		case now := <-ticker.C:
			r.registerAll(now)
		}
	}
}

func (r *registrar) registerAll(now time.Time) {
	for _, w := range r.fleet.workers {
		w.mu.Lock()
		var current registration
		if w.state == "up" {
			current = registration{id: w.id, startMillis: w.startMillis, missingPercent: w.missingPercent}
		}
		value, _ := json.Marshal(map[string]any{
			"service": w.pool, "address": w.address, "zone": "a", "capacity": 8, "state": "ready", "born": w.startMillis,
			"headroom": reducedCapacity(w.missingPercent).headroom(), "labels": []string{"a", w.rack},
		})
		waits := now.Before(w.registersAt)
		w.mu.Unlock()
		previous := r.registered[w.name]
		if waits || previous == current {
			continue
		}
		var change Transaction
		if previous.id != "" && previous.id != current.id {
			change.Removals = []string{registrationPrefix + previous.id}
		}
		if current.id != "" {
			change.Puts = []Put{{Key: registrationPrefix + current.id, Value: value}}
		}
		r.registered[w.name] = current
		r.fleet.store.Commit(change, now)
	}
}
