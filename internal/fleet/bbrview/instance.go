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

// Plan is what follows once an instance is drained.
type Plan string

// Plans of a drain.
const (
	// Hold keeps the instance drained until an operator resumes it.
	Hold Plan = "hold"
	// Reboot reboots the instance and returns it to its pool.
	Reboot Plan = "reboot"
	// Move reboots the instance and brings it to the target pool.
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
	// Pool is the only pool of the instance. It changes only when a reboot
	// has completed.
	Pool  string `json:"pool"`
	State State  `json:"state"`
	Plan  Plan   `json:"plan,omitempty"`
	// Target is the pool that a move leads to.
	Target string `json:"target,omitempty"`
	// Operation is the ID of the command that took the instance out of
	// service. A reboot carries it, so that the platform reboots once.
	Operation string `json:"operation,omitempty"`
	// Reason says who or what asked for the present state.
	Reason string    `json:"reason,omitempty"`
	Since  time.Time `json:"since"`
}

// Withdrawal asks that an instance leaves service.
type Withdrawal struct {
	Instance  string
	Plan      Plan
	Target    string
	Operation string
	Reason    string
}

// Withdraw begins to drain an instance. It is a restriction: senders obey it
// on sight.
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

// Void makes a withdrawal that has not been written yet be refused, whenever
// its writer comes.
func (v *View) Void(operation string) {
	if !Applied(v, operation) && !Applied(v, voidID(operation)) {
		v.Operations.Record(voidID(operation))
	}
}

func voidID(operation string) string { return "void/" + operation }

// Resume returns a held instance to service, within the heat limit. An instance
// that a move or reboot has taken cannot be resumed; it returns by itself.
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

// MarkLost marks an instance as lost without plan.
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

// RemoveLost removes a lost instance that the platform no longer has. The ID may
// come back in another pool, so every sender must have let go of it.
func (v *View) RemoveLost(id string, acks Acks) bool {
	if v.Instances[id].State != Lost || !acks.NoneInFlight(v, id) {
		return false
	}
	delete(v.Instances, id)
	return true
}

// RestoreLost brings a lost instance back to its pool, within the heat limit. It
// promises nothing new, so that no acknowledgement is needed.
func (v *View) RestoreLost(row bbrlist.Instance, limit int, now time.Time) bool {
	instance := v.Instances[row.ID]
	if instance.State != Lost || !v.MayActivate(limit) {
		return false
	}
	instance.Address = row.Address
	v.returnToService(instance, instance.Pool, now)
	return true
}

// ActiveInstances counts the instances that draw power for work: all but those that are
// held, lost or away.
func (v *View) ActiveInstances() int {
	active := 0
	for _, instance := range v.Instances {
		if instance.State == Serving || instance.State == Draining {
			active++
		}
	}
	return active
}

// MayActivate reports whether one more instance fits the zone's heat limit; a
// limit of 0 means none.
func (v *View) MayActivate(limit int) bool { return limit == 0 || v.ActiveInstances() < limit }

// Adopt lists an instance that the platform shows for the first time. Above the
// heat limit it is held until an operator resumes it.
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

// CommitDrained marks a draining instance as drained once every sender has
// acknowledged with nothing in flight on it.
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

// BeginReboot records a reboot before it is asked for.
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

// FinishReboot returns an instance whose recorded reboot the platform has
// completed, to its target pool where it moves.
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
