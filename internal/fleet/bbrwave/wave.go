package bbrwave

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrcode"
	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrview"
)

// KeyPrefix is the prefix of the platform's keys under which the waves are stored,
// one document each.
const KeyPrefix = "waves/"

// Status is the state of a wave.
type Status string

// States of a wave.
const (
	Running Status = "running"
	Halted  Status = "halted"
	Done    Status = "done"
)

// Phase is the progress of one instance in a wave.
type Phase string

// Phases of an instance in a wave.
const (
	Pending  Phase = "pending"
	Started  Phase = "started"
	Finished Phase = "finished"
	Failed   Phase = "failed"
)

const (
	// failuresUntilHalt is how many failures halt a wave. A single failure may be
	// chance; two suggest a common cause.
	failuresUntilHalt = 2
	// maxStarted limits the started instances of a wave in one zone.
	maxStarted = 8
	// instanceTimeout is how long an instance may be withdrawn before it counts as
	// failed.
	instanceTimeout = 15 * time.Minute
)

// Wave is the document of one wave.
type Wave struct {
	Name string `json:"name"`
	// Pool is the pool, or empty for all pools.
	Pool      string    `json:"pool,omitempty"`
	Operation string    `json:"operation"`
	Status    Status    `json:"status"`
	Reason    string    `json:"reason,omitempty"`
	Since     time.Time `json:"since"`
	// AcknowledgedFailures is the number of failures before the last resumption by an
	// operator. They no longer count towards a halt.
	AcknowledgedFailures int                 `json:"forgiven"`
	Instances            map[string]Progress `json:"instances"`
}

// Progress is the state of one instance in a wave.
type Progress struct {
	Zone  string    `json:"zone"`
	Rack  string    `json:"rack"`
	Phase Phase     `json:"phase"`
	Since time.Time `json:"since"`
	// Attempt is the number of starts, so that each has its own operation ID.
	Attempt int `json:"attempt"`
}

// Applied reports whether the operation created the wave.
func Applied(w *Wave, operation string) bool { return w.Operation == operation }

// New plans a wave over the instances of the zones' views, of one pool or, if pool
// is empty, of all.
func New(name, pool, operation string, views []bbrview.View, now time.Time) (Wave, error) {
	w := Wave{Name: name, Pool: pool, Operation: operation, Status: Running, Since: now, Instances: make(map[string]Progress)}
	for _, view := range views {
		for id, instance := range view.Instances {
			if pool == "" || instance.Pool == pool {
				w.Instances[id] = Progress{Zone: view.Zone, Rack: instance.Rack, Phase: Pending, Since: now}
			}
		}
	}
	if len(w.Instances) == 0 {
		return w, bbrcode.Errorf(bbrcode.UnknownName, pool, "the pool has no instances")
	}
	return w, nil
}

// OperationFor returns the operation ID under which the wave withdraws an
// instance.
func (w *Wave) OperationFor(instance string) string {
	return fmt.Sprintf("%s/%s/%d", w.Operation, instance, w.Instances[instance].Attempt)
}

// Count returns the number of instances in the phase.
func (w *Wave) Count(phase Phase) int {
	count := 0
	for _, progress := range w.Instances {
		if progress.Phase == phase {
			count++
		}
	}
	return count
}

// Observe updates the phases of the zone's started instances from its view and the
// status of the wave, and reports whether anything changed.
func (w *Wave) Observe(view *bbrview.View, now time.Time) bool {
	changed := false
	for id, progress := range w.Instances {
		if progress.Zone != view.Zone || progress.Phase != Started {
			continue
		}
		if phase := w.phaseOf(view, id, progress, now); phase != Started {
			progress.Phase = phase
			progress.Since = now
			w.Instances[id] = progress
			changed = true
		}
	}
	return w.updateStatus(now) || changed
}

// phaseOf returns the phase of a started instance that follows from the view.
func (w *Wave) phaseOf(view *bbrview.View, id string, progress Progress, now time.Time) Phase {
	instance, listed := view.Instances[id]
	withdrawnByWave := instance.Operation == w.OperationFor(id)
	switch {
	case withdrawnByWave && now.Sub(progress.Since) > instanceTimeout:
		return Failed
	case withdrawnByWave:
		return Started
	case !listed || instance.State == bbrview.Lost:
		return Failed
	case !bbrview.Applied(view, w.OperationFor(id)):
		// The withdrawal has not been written, or the response to it was lost.
		return phaseWithoutWithdrawal(progress, now)
	default:
		return Finished
	}
}

// withdrawalTimeout is how long a started instance may go without a withdrawal in the
// view before it is pending again.
const withdrawalTimeout = 2 * time.Minute

// phaseWithoutWithdrawal returns the phase of a started instance whose withdrawal the
// view does not show.
func phaseWithoutWithdrawal(progress Progress, now time.Time) Phase {
	if now.Sub(progress.Since) > withdrawalTimeout {
		return Pending
	}
	return Started
}

// updateStatus halts the wave if failures repeat, ends it if every instance has
// been through it, and reports whether it did either.
func (w *Wave) updateStatus(now time.Time) bool {
	if w.Status != Running {
		return false
	}
	failed := w.Count(Failed)
	switch {
	case failed-w.AcknowledgedFailures >= failuresUntilHalt:
		w.setStatus(Halted, "failures repeat", now)
	case w.Count(Pending)+w.Count(Started) == 0:
		w.setStatus(Done, "", now)
	default:
		return false
	}
	return true
}

func (w *Wave) setStatus(status Status, reason string, now time.Time) {
	w.Status = status
	w.Reason = reason
	w.Since = now
}

// Next returns the zone's instances that may be started now, in the order of racks
// and IDs. Only one rack of a zone has started instances at a time. Their number is
// limited to one at first; the limit doubles with each finished instance of the wave,
// up to maxStarted.
func (w *Wave) Next(zone string) []string {
	if w.Status != Running {
		return nil
	}
	limit := min(1<<min(w.Count(Finished), 3), maxStarted)
	started := 0
	rack := ""
	var pending []string
	for _, id := range slices.SortedFunc(maps.Keys(w.Instances), w.byRack) {
		progress := w.Instances[id]
		if progress.Zone != zone {
			continue
		}
		switch progress.Phase {
		case Started:
			started++
			rack = progress.Rack
		case Pending:
			pending = append(pending, id)
		}
	}
	if rack == "" && len(pending) > 0 {
		rack = w.Instances[pending[0]].Rack
	}
	pending = slices.DeleteFunc(pending, func(id string) bool { return w.Instances[id].Rack != rack })
	return pending[:min(len(pending), max(0, limit-started))]
}

func (w *Wave) byRack(a, b string) int {
	if c := strings.Compare(w.Instances[a].Rack, w.Instances[b].Rack); c != 0 {
		return c
	}
	return strings.Compare(a, b)
}

// Start records that the instance is about to be withdrawn.
func (w *Wave) Start(id string, now time.Time) {
	progress := w.Instances[id]
	progress.Phase = Started
	progress.Since = now
	progress.Attempt++
	w.Instances[id] = progress
}

// Requeue makes an instance pending again whose withdrawal was refused.
func (w *Wave) Requeue(id string, now time.Time) {
	progress := w.Instances[id]
	progress.Phase = Pending
	progress.Since = now
	w.Instances[id] = progress
}

// Halt stops a running wave from starting further instances. Instances that are
// already withdrawn return to service.
func (w *Wave) Halt(now time.Time) error {
	if w.Status != Running {
		return bbrcode.Errorf(bbrcode.WrongState, w.Name, "the wave has been %s since %s", w.Status, w.Since.Format(time.RFC3339))
	}
	w.setStatus(Halted, "operator", now)
	return nil
}

// Resume continues a halted wave and acknowledges its failures so far.
func (w *Wave) Resume(now time.Time) error {
	if w.Status != Halted {
		return bbrcode.Errorf(bbrcode.WrongState, w.Name, "the wave is %s, not halted", w.Status)
	}
	w.AcknowledgedFailures = w.Count(Failed)
	w.setStatus(Running, "", now)
	return nil
}
