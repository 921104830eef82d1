package bbrmaintenance

import (
	"slices"
	"time"

	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrmachine"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrorder"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrscheduler"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
	"github.com/bluebellridge/bluebellridge/internal/store/bbrkv"
)

// modelOwner is the owner of a pool with what it has stored.
type modelOwner struct {
	pool         string
	ledger       *bbrscheduler.Scheduler
	token        int64
	revision     bbrkv.Revision
	jobs         []*bbrwork.Job
	accepted     map[string]bbrkv.Revision
	progress     map[string][]byte
	final        map[string]bbrwork.State
	incarnations []bbrwork.Upstream
	horizon      bbrkv.Revision
	// reports are the newest, in order.
	reports []modelReport
}

func newModelOwner(pool string, now time.Time) *modelOwner {
	o := &modelOwner{pool: pool, token: 1, accepted: make(map[string]bbrkv.Revision), progress: make(map[string][]byte), final: make(map[string]bbrwork.State)}
	o.newScheduler(true, now)
	return o
}

// newScheduler begins with an empty ledger.
func (o *modelOwner) newScheduler(fresh bool, now time.Time) {
	o.ledger = bbrscheduler.New(bbrwork.Shard{Service: o.pool}, o.token, modelTiming, fresh, now)
	queue := &bbrwork.Queue{Name: o.pool, Service: o.pool, Attempts: 3, Stretch: 1.6, Objective: 600 * time.Millisecond}
	o.ledger.SetConfig(bbrwork.NewConfig(1, []*bbrwork.Queue{queue}, nil, bbrwork.Limits{}))
}

// replaceOwner replaces a pool's owner by one that knows what is stored.
func (m *model) replaceOwner(pool string) {
	o := m.owners[pool]
	o.token++
	o.newScheduler(false, m.now)
	o.ledger.SetReserved(m.reserved, m.now)
	for _, job := range o.jobs {
		if o.final[job.ID] == "" {
			o.ledger.AddJob(job, o.accepted[job.ID], o.progress[job.ID], m.now)
		}
	}
	o.ledger.FinishLoading(o.incarnations, o.horizon, m.now)
}

// runOwner is one round of an owner.
func (m *model) runOwner(o *modelOwner) {
	o.ledger.SetReserved(m.reserved, m.now)
	m.register(o)
	plan := o.ledger.Plan(true, m.now)
	for _, order := range plan.Starts {
		m.sendStart(o, order)
	}
	for _, order := range plan.Stops {
		m.sendStop(o, order)
	}
	ids := o.ledger.UpstreamIDs()
	slices.Sort(ids)
	for _, id := range ids {
		m.renewLease(o, id)
	}
	for _, life := range o.ledger.Unverified(m.now) {
		if m.current(life.ID) == nil {
			o.ledger.EndIncarnation(life, "not there", m.now)
		}
	}
	o.store(m.now)
	if len(o.reports) == 0 || m.now.Sub(o.reports[len(o.reports)-1].at) >= modelRoundInterval {
		demand := o.ledger.Demand(m.now)
		demand.Releasable = demand.Releasable[:min(modelMaxReleasable, len(demand.Releasable))]
		o.reports = append(o.reports, modelReport{at: m.now, demand: demand, drained: o.ledger.Drained(m.now)})
	}
}

// register tells an owner which upstreams its pool has.
func (m *model) register(o *modelOwner) {
	for _, id := range m.ids {
		instance := m.instances[id]
		if instance.Pool != o.pool || instance.Status != bbrmachine.StatusUp {
			continue
		}
		o.ledger.RegisterUpstream(bbrwork.Upstream{
			Incarnation: bbrwork.Incarnation{ID: instance.Upstream, StartMillis: instance.born.UnixMilli()},
			Service:     o.pool,
			Capacity:    instance.Capacity,
			Labels:      instance.Labels,
		}, m.now)
	}
	for _, life := range o.ledger.UpstreamIDs() {
		if m.current(life) == nil {
			o.ledger.UnregisterUpstream(life, m.now)
		}
	}
}

func (m *model) sendStart(o *modelOwner, order bbrscheduler.StartOrder) {
	instance, err := m.reachable(order.Upstream.ID)
	if err != nil {
		o.ledger.ApplyStartResult(order, 0, err, m.now)
		return
	}
	lost, answerLost := false, false
	if m.losesMessages != nil {
		lost, answerLost = m.losesMessages()
	}
	if !lost {
		err = m.executeStart(instance, order.Start)
	}
	if lost || answerLost {
		o.ledger.ApplyStartResult(order, 0, bbrorder.ErrAnswerLost, m.now)
		return
	}
	o.ledger.ApplyStartResult(order, instance.clock(m.now), err, m.now)
}

func (m *model) sendStop(o *modelOwner, order bbrscheduler.StopOrder) {
	instance, err := m.reachable(order.Upstream.ID)
	if err != nil {
		o.ledger.ApplyStopResult(order, err, m.now)
		return
	}
	if at := instance.indexOf(order.Stop.Unit, order.Stop.Run); at >= 0 {
		m.end(instance, instance.running[at], bbrwork.OutcomeStopped)
	}
	instance.highestEnded[order.Stop.Unit] = max(instance.highestEnded[order.Stop.Unit], order.Stop.Run)
	o.ledger.ApplyStopResult(order, nil, m.now)
}

// renewLease renews an upstream's lease and takes its listing.
func (m *model) renewLease(o *modelOwner, id string) {
	hold, known := o.ledger.PlanRenewal(id, true, m.now)
	if !known || hold.Idle {
		return
	}
	instance, err := m.reachable(id)
	if err != nil {
		o.ledger.ApplyRenewalFailure(hold.Upstream.Incarnation, err, m.now)
		return
	}
	instance.lease = max(instance.lease, hold.LeaseUntil)
	m.acknowledge(instance, hold.Acknowledged)
	listing := bbrwork.Listing{Clock: instance.clock(m.now), StartMillis: instance.born.UnixMilli()}
	for _, end := range instance.ends {
		listing.Ended = append(listing.Ended, end.RunEnd)
		u := m.units[end.Unit]
		u.doneReported = u.doneReported || end.Outcome == bbrwork.OutcomeDone
	}
	for _, run := range instance.running {
		running := bbrwork.Run{Unit: run.unit, Number: run.run}
		if run.endsAt.IsZero() {
			running.Percent = 100
		}
		listing.Running = append(listing.Running, running)
	}
	o.ledger.ApplyListing(hold.Upstream.Incarnation, &listing, m.now, m.now)
}

func (o *modelOwner) store(now time.Time) {
	batch := o.ledger.Batch(1000, now)
	o.revision++
	o.horizon = batch.Horizon
	for _, write := range batch.Writes {
		if write.FinalState != "" {
			o.final[write.Job.ID] = write.FinalState
		} else {
			o.progress[write.Job.ID] = write.Progress
		}
	}
	if batch.Recorded != nil {
		o.incarnations = batch.Recorded
	}
	o.ledger.ApplyStored(batch, o.revision, now)
}
