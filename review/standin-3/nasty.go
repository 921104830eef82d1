package main

import (
	"encoding/json"
	"math/rand"
	"strings"
	"time"
)

// owner returns an entry that has a claim in the store, or any.
func (w *world) owner() *entry {
	w.s.mu.Lock()
	var names []string
	for k, it := range w.s.items {
		var in struct {
			Entry string `json:"entry"`
		}
		if strings.HasPrefix(k, "bbr/fleet/") && strings.Contains(k, "claim") && json.Unmarshal(it.Value, &in) == nil && in.Entry != "" {
			names = append(names, in.Entry)
		}
	}
	w.s.mu.Unlock()
	if len(names) > 0 {
		name := names[rand.Intn(len(names))]
		for _, e := range w.entries {
			if e.name == name {
				return e
			}
		}
	}
	return w.any()
}

// nasty brings many disturbances about, of which several last at the same time.
func (w *world) nasty(mode string, end time.Time) {
	f := w.f
	for time.Now().Before(end.Add(-3 * time.Second)) {
		time.Sleep(time.Duration(100+rand.Intn(1200)) * time.Millisecond)
		e := w.owner()
		m := f.minions[rand.Intn(len(f.minions))]
		kind := rand.Intn(9)
		if strings.Contains(mode, "cuts") && rand.Intn(2) == 0 {
			kind = 5
		}
		switch kind {
		case 0:
			e.kill(time.Duration(200+rand.Intn(1500)) * time.Millisecond)
		case 1, 2:
			e.freeze(time.Duration(2000+rand.Intn(2000)) * time.Millisecond)
		case 3, 4:
			down := time.Duration(50+rand.Intn(1500)) * time.Millisecond
			w.disturb("minion crash "+m.machine, down)
			f.mu.Lock()
			if m.state == "up" {
				m.lose("down")
				time.AfterFunc(down, func() {
					f.mu.Lock()
					defer f.mu.Unlock()
					m.boot(false)
				})
			}
			f.mu.Unlock()
		case 5:
			w.disturb("minion cut and reborn "+m.machine, 5500*time.Millisecond)
			f.mu.Lock()
			if m.state == "up" {
				m.dark = true
				id := m.id
				if rand.Intn(2) == 0 {
					time.AfterFunc(500*time.Millisecond, func() {
						f.mu.Lock()
						defer f.mu.Unlock()
						if m.id == id && m.dark {
							m.lose("up")
							m.boot(false)
							m.dark = true
						}
					})
				}
				time.AfterFunc(time.Duration(1000+rand.Intn(4500))*time.Millisecond, func() {
					f.mu.Lock()
					defer f.mu.Unlock()
					if m.id == id {
						m.dark = false
					}
				})
			}
			f.mu.Unlock()
		case 6:
			if strings.Contains(mode, "nolate") {
				continue
			}
			w.disturb("late orders", 5500*time.Millisecond)
			f.mu.Lock()
			for _, o := range f.minions {
				o.lateShare = .5
			}
			f.mu.Unlock()
			time.AfterFunc(time.Duration(500+rand.Intn(5000))*time.Millisecond, func() {
				f.mu.Lock()
				defer f.mu.Unlock()
				for _, o := range f.minions {
					o.lateShare = 0
				}
			})
		case 7:
			w.disturb("store lost answers", 4500*time.Millisecond)
			late := rand.Intn(2) == 0
			for _, o := range w.entries {
				o.port.set(storeFaults{lost: .35, late: late})
			}
			time.AfterFunc(time.Duration(1000+rand.Intn(3500))*time.Millisecond, func() {
				for _, o := range w.entries {
					o.port.set(storeFaults{})
				}
			})
		case 8:
			w.disturb("store turns away "+e.name, 7*time.Second)
			e.port.set(storeFaults{down: []string{"silent", "busy", "reset", "many"}[rand.Intn(4)]})
			time.AfterFunc(time.Duration(2000+rand.Intn(4000))*time.Millisecond, func() { e.port.set(storeFaults{}) })
		}
	}
}
