package bbrfleet

import (
	"fmt"
	"time"
)

// CrashSpec is the spec of work units that crash each upstream on which they start.
const CrashSpec = "crash"

const (
	// crashDelay is the time from the start of such a work unit to the crash, and
	// crashOutage the time from there until the upstream is back.
	crashDelay  = 20 * time.Millisecond
	crashOutage = time.Second
	// crashesBeforeLimit is the number of crashes after which a work unit may be started
	// fewer than startsAfterLimit times.
	crashesBeforeLimit = 3
	startsAfterLimit   = 3
)

// crash ends the incarnation with all its runs. The machine is back after crashOutage,
// and does not answer until then. The caller holds mu.
func (w *worker) crash() {
	for task := range w.running {
		w.fleet.recordCrash(task, w)
	}
	w.running = make(map[string]*activeRun)
	w.state = stateDown
	w.wakeRenewals()
	returning := &machineReturn{worker: w}
	time.AfterFunc(crashOutage, returning.run)
}

// stateDown is the state of a machine that has crashed.
const stateDown = "down"

// recordCrash records that an upstream crashed while it ran a work unit.
func (f *Fleet) recordCrash(task string, on *worker) {
	f.recordEnd(task, on, false)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unit(task).crashes++
}

// checkCrashes checks a start of a work unit that crashes its upstreams: it must be
// given up in time.
func (f *Fleet) checkCrashes(task string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	unit := f.unit(task)
	if f.unlimitedCrashes || unit.crashes < crashesBeforeLimit {
		return
	}
	if unit.startsAfterCrashes++; unit.startsAfterCrashes >= startsAfterLimit {
		f.violations = append(f.violations, fmt.Sprintf("%s started for the %d. time after %d upstreams had crashed under it", task, unit.startsAfterCrashes, crashesBeforeLimit))
	}
}
