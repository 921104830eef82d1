package bbrview

import (
	"net/netip"
	"time"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrcode"
	"github.com/bluebellridge/bluebellridge/internal/platform/bbrlist"
)

// State is the state of an instance.
type State string

// States of an instance. Senders use an instance only while it is serving.
const (
	Serving   State = "serving"
	Draining  State = "draining"
	Drained   State = "drained"
	Rebooting State = "rebooting"
	Lost      State = "lost"
)

// Plan is what happens to an instance once it is drained.
type Plan string

// Plans of a drain.
const (
	// Hold keeps the instance drained until an operator resumes it.
	Hold Plan = "hold"
	// Reboot reboots the instance and returns it to its pool.
	Reboot Plan = "reboot"
	// Move reboots the instance and adds it to the target pool.
	Move Plan = "move"
)

// Instance is an upstream of the zone.
type Instance struct {
	ID          string         `json:"id"`
	Rack        string         `json:"rack"`
	Address     netip.AddrPort `json:"address"`
	Slots       int            `json:"slots"`
	Connections int            `json:"connections"`
	MemoryBytes int64          `json:"memoryBytes"`
	// Pool is the pool of the instance. It has exactly one, which changes only
	// when a reboot has completed.
	Pool  string `json:"pool"`
	State State  `json:"state"`
	Plan  Plan   `json:"plan,omitempty"`
	// Target is the destination pool of a move.
	Target string `json:"target,omitempty"`
	// Operation is the ID of the command that took the instance out of
	// service. The reboot request carries it, so that the platform reboots the
	// instance only once.
	Operation string `json:"operation,omitempty"`
	// Reason describes who or what requested the current state.
	Reason string    `json:"reason,omitempty"`
	Since  time.Time `json:"since"`
}

// Withdrawal is a request to take an instance out of service.
type Withdrawal struct {
	Instance  string
	Plan      Plan
	Target    string
	Operation string
	Reason    string
}

// Withdraw begins to drain an instance. This is a restriction: senders obey it as
// soon as they read it.
func (v *View) Withdraw(w Withdrawal, now time.Time) error {
	instance, err := v.find(w.Instance)
	if err != nil {
		return err
	}
	if Applied(v, voidID(w.Operation)) {
		return bbrcode.Errorf(bbrcode.Conflict, w.Instance, "operation %s came too late and was voided", w.Operation)
	}
	if instance.State != Serving {
		return bbrcode.Errorf(bbrcode.WrongState, w.Instance, "the instance is %s since %s (%s), not serving",
			instance.State, instance.Since.Format(time.RFC3339), instance.Reason)
	}
	instance.State = Draining
	instance.Plan = w.Plan
	instance.Target = w.Target
	instance.Operation = w.Operation
	instance.Reason = w.Reason
	instance.Since = now
	v.Instances[w.Instance] = instance
	v.Operations.Record(w.Operation)
	return nil
}

// Void records that the operation is to be refused if its withdrawal has not been
// written yet. It has no effect on an operation that was applied.
func (v *View) Void(operation string) {
	if !Applied(v, operation) && !Applied(v, voidID(operation)) {
		v.Operations.Record(voidID(operation))
	}
}

// voidID returns the operation ID under which a voided operation is recorded.
func voidID(operation string) string { return "void/" + operation }

// Resume returns an instance that is drained with the plan Hold, or still drains,
// to service, within the heat limit. An instance that is drained for a move or
// reboot cannot be resumed; it returns to service afterwards.
func (v *View) Resume(id, operation string, limit int, now time.Time) error {
	instance, err := v.find(id)
	if err != nil {
		return err
	}
	held := instance.Plan == Hold && (instance.State == Draining || instance.State == Drained)
	if !held {
		return bbrcode.Errorf(bbrcode.WrongState, id, "the instance is %s with plan %q; only a drained one can be resumed",
			instance.State, instance.Plan)
	}
	if instance.State == Drained && !v.MayActivate(limit) {
		return bbrcode.Errorf(bbrcode.HeatLimit, id, "zone %s has %d active instances of at most %d", v.Zone, v.ActiveInstances(), limit)
	}
	v.returnToService(instance, instance.Pool, now)
	v.Operations.Record(operation)
	return nil
}

// MarkLost marks a serving instance as lost, and reports whether the view changed.
func (v *View) MarkLost(id, reason string, now time.Time) bool {
	instance, ok := v.Instances[id]
	if !ok || instance.State != Serving {
		return false
	}
	instance.State = Lost
	instance.Reason = reason
	instance.Since = now
	v.Instances[id] = instance
	return true
}

// RemoveLost removes a lost instance that the platform no longer lists, and reports
// whether the view changed. The ID may be listed again in another pool, so no
// sender may have requests in flight on the instance.
func (v *View) RemoveLost(id string, acks Acks) bool {
	if v.Instances[id].State != Lost || !acks.NoneInFlight(v, id) {
		return false
	}
	delete(v.Instances, id)
	return true
}

// RestoreLost returns a lost instance to service in its pool, within the heat limit,
// and reports whether the view changed. It grants no new permission, so no
// acknowledgement is needed.
func (v *View) RestoreLost(row bbrlist.Instance, limit int, now time.Time) bool {
	instance := v.Instances[row.ID]
	if instance.State != Lost || !v.MayActivate(limit) {
		return false
	}
	instance.Address = row.Address
	v.returnToService(instance, instance.Pool, now)
	return true
}

// ActiveInstances returns the number of instances that draw power for work: those
// that are serving or draining.
func (v *View) ActiveInstances() int {
	active := 0
	for _, instance := range v.Instances {
		if instance.State == Serving || instance.State == Draining {
			active++
		}
	}
	return active
}

// MayActivate reports whether the zone's heat limit allows one more active
// instance. A limit of 0 means that there is none.
func (v *View) MayActivate(limit int) bool { return limit == 0 || v.ActiveInstances() < limit }

// Adopt adds an instance that the platform lists for the first time, and reports
// whether the view changed. If the heat limit is reached, the instance is added as
// drained with the plan Hold, until an operator resumes it.
func (v *View) Adopt(row bbrlist.Instance, limit int, now time.Time) bool {
	if _, ok := v.Instances[row.ID]; ok {
		return false
	}
	if v.Instances == nil {
		v.Instances = make(map[string]Instance)
	}
	instance := Instance{
		ID:          row.ID,
		Rack:        row.Rack,
		Address:     row.Address,
		Slots:       row.Slots,
		Connections: row.Connections,
		MemoryBytes: row.MemoryBytes,
		Pool:        row.Pool,
		State:       Serving,
		Reason:      "adopted",
		Since:       now,
	}
	if !v.MayActivate(limit) {
		instance.State = Drained
		instance.Plan = Hold
		instance.Reason = "heat limit"
	}
	v.Instances[row.ID] = instance
	return true
}

// CommitDrained marks a draining instance as drained if every sender has
// acknowledged the drain with nothing in flight on it. It reports whether the view
// changed.
func (v *View) CommitDrained(id string, acks Acks, now time.Time) bool {
	instance := v.Instances[id]
	if instance.State != Draining || !acks.NoneInFlight(v, id) {
		return false
	}
	instance.State = Drained
	instance.Since = now
	v.Instances[id] = instance
	return true
}

// BeginReboot records the reboot of a drained instance before the platform is asked
// for it. It reports whether the view changed.
func (v *View) BeginReboot(id string, now time.Time) bool {
	instance := v.Instances[id]
	if instance.State != Drained || instance.Plan == Hold {
		return false
	}
	instance.State = Rebooting
	instance.Since = now
	v.Instances[id] = instance
	return true
}

// FinishReboot returns an instance to service if the platform has completed its
// recorded reboot; the instance joins the target pool if its plan is Move. It
// reports whether the view changed.
func (v *View) FinishReboot(row bbrlist.Instance, now time.Time) bool {
	instance := v.Instances[row.ID]
	done := row.State == bbrlist.StateLive && row.LastReboot == instance.Operation
	if instance.State != Rebooting || !done {
		return false
	}
	instance.Address = row.Address
	pool := instance.Pool
	if instance.Plan == Move {
		pool = instance.Target
	}
	v.returnToService(instance, pool, now)
	return true
}

// returnToService makes the instance serve in the pool and clears its plan.
func (v *View) returnToService(instance Instance, pool string, now time.Time) {
	instance.Pool = pool
	instance.State = Serving
	instance.Plan = ""
	instance.Target = ""
	instance.Operation = ""
	instance.Reason = ""
	instance.Since = now
	v.Instances[instance.ID] = instance
}

func (v *View) find(id string) (Instance, error) {
	instance, ok := v.Instances[id]
	if !ok {
		return Instance{}, bbrcode.Errorf(bbrcode.UnknownInstance, id, "zone %s has no such instance", v.Zone)
	}
	return instance, nil
}
