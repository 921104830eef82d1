package bbrfleet

import (
	"math/rand/v2"
	"time"
)

// initialAge is how long the first incarnations have been up. A deadline by their clocks
// is far beyond the clock of an incarnation that follows.
const initialAge = 5 * time.Minute

// maxRegistrationLag is the longest time from the start of an incarnation under the ID of
// the one before until it registers.
const maxRegistrationLag = 600 * time.Millisecond

// Restart ends the incarnation of an upstream and all its runs. The next one begins under
// the same ID after the outage, in which the upstream stays registered and does not
// answer, and registers up to maxRegistrationLag later. Restart does nothing while the
// machine is down or restarts.
func (f *Fleet) Restart(number int, outage time.Duration) {
	f.endIncarnation(number, func(w *worker, now time.Time) {
		if outage == 0 {
			w.restartUnregistered(now)
			return
		}
		w.running, w.restarting, w.crashAt = make(map[string]*activeRun), true, time.Time{}
		w.wakeRenewals()
		returning := &incarnationReturn{worker: w}
		time.AfterFunc(outage, returning.run)
	})
}

// restartUnregistered starts a new incarnation under the present ID, which the registration
// of the one before names until it registers itself. The caller holds mu.
func (w *worker) restartUnregistered(now time.Time) {
	w.restart(now)
	w.registersAt = now.Add(rand.N(maxRegistrationLag))
}

// incarnationReturn begins the next incarnation under the same ID, unless the machine has
// another one meanwhile.
type incarnationReturn struct{ worker *worker }

func (i *incarnationReturn) run() {
	i.worker.mu.Lock()
	defer i.worker.mu.Unlock()
	if i.worker.restarting {
		i.worker.restartUnregistered(time.Now())
	}
}
