package main

import (
	"fmt"
	"time"
)

// watchLasting checks, until the end, that each work unit that lasts is running again within the
// time of the rule LOST: from 6 s after its last run, it may not be without a run for 3 s while there
// is capacity for it twice over, if these 3 s and the 4 s before them are calm.
func (w *world) watchLasting(end time.Time) {
	f := w.f
	since := map[string]time.Time{}
	reported := map[string]bool{}
	for time.Now().Before(end) {
		time.Sleep(100 * time.Millisecond)
		now := time.Now()
		calm := !w.disturbed(now.Add(-7*time.Second), now)
		f.mu.Lock()
		for _, j := range f.jobs {
			if j.accepted.IsZero() || !j.cancelSent.IsZero() || j.final != "" {
				continue
			}
			for si := range j.steps {
				if !j.steps[si].Lasts {
					continue
				}
				for i := 0; i < j.steps[si].Count; i++ {
					name := fmt.Sprintf("%s.0.%d.%d", j.id, si, i)
					u := f.units[name]
					idle := u == nil || len(u.running) == 0
					from := j.accepted
					if u != nil && !u.lastRunEnd.IsZero() {
						from = u.lastRunEnd
					}
					if !idle || now.Sub(from) < 6*time.Second || !calm || !f.fitsTwice(j, si) {
						delete(since, name)
						continue
					}
					if since[name].IsZero() {
						since[name] = now
					}
					if now.Sub(since[name]) > 3*time.Second && !reported[name] {
						reported[name] = true
						w.violate("LOST", "%s, which lasts, has had no run for %v", name, now.Sub(from).Round(time.Millisecond))
					}
				}
			}
		}
		f.mu.Unlock()
	}
}

// fitsTwice reports whether there is capacity for a work unit of the step twice over.
func (f *fleet) fitsTwice(j *jobSpec, step int) bool {
	st := &j.steps[step]
	places := 0
	for _, m := range f.minions {
		if !j.services[m.pool] || m.state != "up" || m.draining || m.dark || m.hang || st.Requires != "" && !has(m.labels, st.Requires) {
			continue
		}
		if f.queueAdvice[j.queue] && !f.adviceGood(fmt.Sprintf("%s.0.%d", j.id, step), m.id) {
			continue
		}
		here, used := 0, m.used()
		for _, r := range m.runs {
			if st.Apart > 0 && r.u.job == j && r.u.step == step {
				here = st.Apart
			}
		}
		for n := here; n < 2 && (st.Apart == 0 || n < st.Apart); n++ {
			if used = used.plus(st.room()); !used.fits(m.cap) {
				break
			}
			places++
		}
	}
	return places >= 2
}
