package bbrmaintenance

import (
	"slices"
	"time"

	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrmachine"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrscheduler"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

type modelReport struct {
	at      time.Time
	demand  bbrscheduler.Demand
	cleared []string
}

// newKeeper returns what holds the reports of the owners.
func (m *model) newKeeper() *Controller {
	pools := []Pool{{Name: off, Spare: true}}
	for _, pool := range m.pools {
		pools = append(pools, Pool{Name: pool})
	}
	return &Controller{
		Pools:    func() []Pool { return pools },
		HasOwner: func(pool string) bool { return m.owners[pool] != nil },
		reports:  make(map[bbrwork.Shard]ownerReport),
	}
}

// size counts the instances of a pool that are not on their way.
func (m *model) size(pool string) int {
	count := 0
	for _, instance := range m.instances {
		if instance.Pool == pool && instance.Status == bbrmachine.StatusUp {
			count++
		}
	}
	return count
}

// keep is one round of the duty.
func (m *model) keep() {
	pause := idleListInterval
	if m.planner.HasOpenWork() {
		pause = listInterval
	}
	if m.now.Sub(m.listedAt) >= pause {
		m.listedAt = m.now
		m.planner.UpdateInstances(m.list(), m.now)
	}
	m.planner.abandonStalledMoves(m.now)
	m.planner.SetDirectives(m.directives, m.now)
	m.readReports()
	m.planner.Balance(m.keeper.requests(m.keeper.Pools(), m.now), m.spare, func(life string) bool { return m.at(life) != nil }, m.now)
	for _, order := range m.planner.NextOrders(m.keeper.isDrained, m.now) {
		m.planner.RecordOutcome(order, m.carryOut(order), m.now)
	}
	m.reserved = make(map[string]bool)
	for _, life := range m.planner.Reserved(m.now) {
		m.reserved[life] = true
	}
}

func (m *model) list() []bbrmachine.Instance {
	list := make([]bbrmachine.Instance, 0, len(m.ids))
	for _, id := range m.ids {
		list = append(list, m.instances[id].Instance)
	}
	return list
}

// readReports reads the newest reports that have arrived.
func (m *model) readReports() {
	m.keeper.drained = make(map[string]bool)
	for _, pool := range m.pools {
		o := m.owners[pool]
		for len(o.reports) > 1 && m.now.Sub(o.reports[1].at) >= modelDelay {
			o.reports = o.reports[1:]
		}
		newest := o.reports[0]
		if m.now.Sub(newest.at) < modelDelay {
			continue
		}
		m.keeper.reports[bbrwork.Shard{Service: pool}] = ownerReport{demand: newest.demand, receivedAt: newest.at}
		for _, life := range newest.cleared {
			m.keeper.drained[life] = m.reserved[life]
		}
	}
}

// carryOut does what an order of the duty asks for. What runs there is lost.
func (m *model) carryOut(order Order) Outcome {
	instance := m.instances[order.Instance]
	if instance.Status != bbrmachine.StatusUp {
		return OutcomeBusy
	}
	for _, run := range slices.Clone(instance.running) {
		m.fault("CLEARED: %s runs on %s, which is taken away", run.unit, instance.Upstream)
		m.end(instance, run, bbrwork.OutcomeStopped)
	}
	if order.Wave != 0 {
		instance.Status, instance.back = bbrmachine.StatusMaintained, m.now.Add(modelAway)
	} else {
		instance.Status, instance.back, instance.Pool = bbrmachine.StatusMoving, m.now.Add(modelMove), order.Pool
		m.moves[order.Pool]++
	}
	instance.Upstream = ""
	return OutcomeDone
}
