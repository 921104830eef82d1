package bbrmaintenance

import (
	"slices"
	"time"

	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrmachine"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrscheduler"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// modelReport is an owner's report at a time.
type modelReport struct {
	at      time.Time
	demand  bbrscheduler.Demand
	drained []string
}

// newController returns a controller that is used only for the owners' reports.
func (m *model) newController() *Controller {
	pools := []Pool{{Name: offPool, Spare: true}}
	for _, pool := range m.pools {
		pools = append(pools, Pool{Name: pool})
	}
	return &Controller{
		Pools:    func() []Pool { return pools },
		HasOwner: func(pool string) bool { return m.owners[pool] != nil },
		reports:  make(map[bbrwork.Shard]ownerReport),
	}
}

// upCount returns the number of instances of a pool that are up.
func (m *model) upCount(pool string) int {
	count := 0
	for _, instance := range m.instances {
		if instance.Pool == pool && instance.Status == bbrmachine.StatusUp {
			count++
		}
	}
	return count
}

// runLeader runs one round of the fleet leader.
func (m *model) runLeader() {
	interval := idleListInterval
	if m.planner.HasOpenWork() {
		interval = listInterval
	}
	if m.now.Sub(m.listedAt) >= interval {
		m.listedAt = m.now
		m.planner.UpdateInstances(m.list(), m.now)
	}
	m.planner.abandonStalledMoves(m.now)
	m.planner.SetDirectives(m.directives, m.now)
	m.readReports()
	m.planner.Balance(m.controller.requests(m.controller.Pools(), m.now), m.sparePool, func(upstream string) bool { return m.current(upstream) != nil }, m.now)
	for _, order := range m.planner.NextOrders(m.controller.isDrained, m.now) {
		m.planner.RecordOutcome(order, m.execute(order), m.now)
	}
	m.reserved = make(map[string]bool)
	for _, upstream := range m.planner.Reserved(m.now) {
		m.reserved[upstream] = true
	}
}

func (m *model) list() []bbrmachine.Instance {
	list := make([]bbrmachine.Instance, 0, len(m.ids))
	for _, id := range m.ids {
		list = append(list, m.instances[id].Instance)
	}
	return list
}

// readReports reads the newest reports that are older than modelReportDelay.
func (m *model) readReports() {
	m.controller.drained = make(map[string]bool)
	for _, pool := range m.pools {
		o := m.owners[pool]
		for len(o.reports) > 1 && m.now.Sub(o.reports[1].at) >= modelReportDelay {
			o.reports = o.reports[1:]
		}
		newest := o.reports[0]
		if m.now.Sub(newest.at) < modelReportDelay {
			continue
		}
		m.controller.reports[bbrwork.Shard{Service: pool}] = ownerReport{demand: newest.demand, receivedAt: newest.at}
		for _, upstream := range newest.drained {
			m.controller.drained[upstream] = m.reserved[upstream]
		}
	}
}

// execute carries out an order of the leader. Work that runs on the instance is a
// violation, and is lost.
func (m *model) execute(order Order) Outcome {
	instance := m.instances[order.Instance]
	if instance.Status != bbrmachine.StatusUp {
		return OutcomeBusy
	}
	for _, run := range slices.Clone(instance.running) {
		m.violate("DRAINED: %s runs on %s, which is moved or maintained", run.unit, instance.Upstream)
		m.end(instance, run, bbrwork.OutcomeStopped)
	}
	if order.Wave != 0 {
		instance.Status, instance.returnsAt = bbrmachine.StatusMaintained, m.now.Add(modelMaintenanceTime)
	} else {
		instance.Status, instance.returnsAt, instance.Pool = bbrmachine.StatusMoving, m.now.Add(modelMoveTime), order.Pool
		m.moves[order.Pool]++
	}
	instance.Upstream = ""
	return OutcomeDone
}
