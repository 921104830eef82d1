package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	// deadlyAfter is how long after its start a deadly work unit crashes its minion, and
	// deadlyDown how long the minion is away then.
	deadlyAfter = 10 * time.Millisecond
	deadlyDown  = 3 * time.Second
	// silence is after how long without a report the platform drops a minion's entry.
	silence = 3 * heartbeat
	// contact is how long a machine must be without disturbance to be in touch.
	contact = 3 * time.Second
	// crashesFree is the number of crashes after which the starts count, and startsMore how
	// many of them break the rule.
	crashesFree = 3
	startsMore  = 3
)

// ordered notes the fence number of a start that a minion carried out.
func (w *world) ordered(fence int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastFence = fence
}

// lastGiver returns the entry that gave the last order to a minion.
func (w *world) lastGiver() *entry {
	w.mu.Lock()
	fence := w.lastFence
	w.mu.Unlock()
	return w.entryNamed(w.store.writerOf(fence))
}

// crashUnder crashes a minion under a work unit. After some seconds the machine is back with
// a minion of another id.
func (w *world) crashUnder(m *minion, record *startRecord) {
	if !m.isUp() {
		return
	}
	m.crash()
	if w.crashed != nil {
		w.crashed(record)
	}
	old := m.id
	time.AfterFunc(silence, func() { w.store.drop("servers/" + old) })
	time.Sleep(deadlyDown)
	m.mu.Lock()
	m.id += "n"
	m.mu.Unlock()
	if err := m.start(); err != nil {
		w.log.note("minion %s does not start again: %v", m.id, err)
	}
}

// runDeadly: among other jobs, one comes whose work unit crashes each minion that starts it.
// After each of the first three crashes, the process that gave the last order to a minion is
// killed. It starts again after a short delay, the third time after some seconds.
func runDeadly(folder, program, record string, trouble bool) ([]string, error) {
	w, err := newWorld(folder, program, record, 12, 6)
	if err != nil {
		return nil, err
	}
	defer w.stopAll()
	w.log.quiet = true
	if err := w.startAll(); err != nil {
		return nil, err
	}
	const (
		kills       = 3
		killDelay   = 150 * time.Millisecond
		shortDelay  = 300 * time.Millisecond
		betweenJobs = 250 * time.Millisecond
		before      = 3 * time.Second
		total       = 30 * time.Second
	)
	deadly := &job{id: w.newID(), steps: []step{{Count: 1, CPU: 1000, MemMB: 500, EstimateMs: 500}}, duration: 500 * time.Millisecond, deadly: true}
	var mu sync.Mutex
	var inTouch []bool
	w.crashed = func(r *startRecord) {
		starter := w.entryNamed(w.store.writerOf(r.fence))
		mu.Lock()
		inTouch = append(inTouch, time.Since(starter.startedAt) > contact)
		crash := len(inTouch)
		mu.Unlock()
		w.log.note("crash %d of minion %s under %s run %d, started by %s, which runs for %s", crash, r.minion, r.task, r.run, starter.name, time.Since(starter.startedAt).Round(time.Millisecond))
		if !trouble || crash > kills {
			return
		}
		time.AfterFunc(killDelay, func() {
			e := w.lastGiver()
			e.signal(syscall.SIGKILL)
			if crash < kills {
				time.Sleep(shortDelay)
			} else {
				time.Sleep(dark)
			}
			if err := e.start(); err != nil {
				w.log.note("%s does not start again: %v", e.name, err)
			}
		})
	}
	sent := false
	n := 0
	for began := time.Now(); time.Since(began) < total; time.Sleep(betweenJobs) {
		if !sent && time.Since(began) > before {
			sent = w.submit(deadly, 0)
		}
		n++
		w.submit(&job{id: w.newID(), steps: []step{{Count: 4, CPU: 1000, MemMB: 500, EstimateMs: 500}}, duration: 500 * time.Millisecond}, n)
	}
	w.log.note("client: GET %s -> %s", deadly.id, w.state(deadly.id, 0))
	mu.Lock()
	defer mu.Unlock()
	more := 0
	for i, touch := range inTouch {
		if i >= crashesFree && touch {
			more++
		}
	}
	w.log.note("%d minions crashed; %d starts by machines in touch after three had crashed", len(inTouch), more)
	if more < startsMore {
		return w.finish(nil), nil
	}
	return w.finish([]string{fmt.Sprintf("BUDGET: %s.0.0.0 was started %d times more, by machines in touch, after three minions had crashed under it", deadly.id, more)}), nil
}
