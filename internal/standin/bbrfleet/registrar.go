package bbrfleet

import (
	"encoding/json"
	"time"
)

// registrar keeps the upstreams' registrations in the store up to date.
type registrar struct {
	fleet *Fleet
	// registered has the instance ID under which each worker is registered.
	registered map[string]string
}

// registrationInterval is the interval at which the registrations are updated.
const registrationInterval = 100 * time.Millisecond

func (r *registrar) loop() {
	r.registered = make(map[string]string)
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
		id := ""
		if w.state == "up" {
			id = w.id
		}
		value, _ := json.Marshal(map[string]any{
			"service": w.pool, "address": w.address, "zone": "a", "capacity": 8, "state": "ready", "born": w.startMillis,
			"headroom": capacity(), "labels": []string{"a", w.rack},
		})
		w.mu.Unlock()
		if r.registered[w.name] == id {
			continue
		}
		var change Transaction
		if previous := r.registered[w.name]; previous != "" {
			change.Removals = []string{"servers/" + previous}
		}
		if id != "" {
			change.Puts = []Put{{Key: "servers/" + id, Value: value}}
		}
		r.registered[w.name] = id
		r.fleet.store.Commit(change, now)
	}
}
