package bbrmaintenance

import (
	"math"
	"slices"
	"time"

	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrmachine"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrorder"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrscheduler"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
	"github.com/bluebellridge/bluebellridge/internal/store/bbrkv"
)

// modelOwner is the owner of a pool with its stored data.
type modelOwner struct {
	pool         string
	scheduler    *bbrscheduler.Scheduler
	token        int64
	revision     bbrkv.Revision
	jobs         []*bbrwork.Job
	accepted     map[string]bbrkv.Revision
	progress     map[string][]byte
	final        map[string]bbrwork.State
	incarnations []bbrwork.Upstream
	horizon      bbrkv.Revision
	// reports holds the newest reports, in order.
	reports []modelReport
}

func newModelOwner(pool string, now time.Time) *modelOwner {
	o := &modelOwner{pool: pool, token: 1, accepted: make(map[string]bbrkv.Revision), progress: make(map[string][]byte), final: make(map[string]bbrwork.State)}
	o.newScheduler(true, now)
	return o
}

// newScheduler gives the owner an empty scheduler. firstOwner means that the pool had no
// earlier owner.
func (o *modelOwner) newScheduler(firstOwner bool, now time.Time) {
	o.scheduler = bbrscheduler.New(bbrwork.Shard{Service: o.pool}, o.token, modelTiming, firstOwner, now)
	queue := &bbrwork.Queue{Name: o.pool, Service: o.pool, Attempts: 3, Stretch: 1.6, Objective: 600 * time.Millisecond}
	o.scheduler.SetConfig(bbrwork.NewConfig(1, []*bbrwork.Queue{queue}, nil, bbrwork.Limits{}))
}

// replaceOwner replaces a pool's owner by one that loads the stored data.
func (m *model) replaceOwner(pool string) {
	o := m.owners[pool]
	o.token++
	o.newScheduler(false, m.now)
	o.scheduler.SetReserved(m.reserved, m.now)
	for _, job := range o.jobs {
		if o.final[job.ID] == "" {
			o.scheduler.AddJob(job, o.accepted[job.ID], o.progress[job.ID], m.now)
		}
	}
	o.scheduler.BeginLoading(o.incarnations, o.horizon, m.now)
	o.scheduler.FinishLoading(m.now)
}

// readMissing reads the jobs of which upstreams list runs or ends. All stored jobs are known, so
// that the missing ones have ended.
func (m *model) readMissing(o *modelOwner) {
	for _, id := range o.scheduler.MissingJobs(math.MaxInt) {
		o.scheduler.RecordMissing(id, m.now)
	}
}

// runOwner runs one round of an owner.
func (m *model) runOwner(o *modelOwner) {
	m.readMissing(o)
	o.scheduler.SetReserved(m.reserved, m.now)
	m.register(o)
	plan := o.scheduler.Plan(true, m.now)
	for _, order := range plan.Starts {
		m.sendStart(o, order)
	}
	for _, order := range plan.Stops {
		m.sendStop(o, order)
	}
	ids := o.scheduler.UpstreamIDs()
	slices.Sort(ids)
	for _, id := range ids {
		m.renewLease(o, id)
	}
	for _, incarnation := range o.scheduler.Unverified(m.now) {
		if m.current(incarnation.ID) == nil {
			o.scheduler.EndIncarnation(incarnation, "not there", m.now)
		}
	}
	o.store(m.now)
	if len(o.reports) == 0 || m.now.Sub(o.reports[len(o.reports)-1].at) >= modelRoundInterval {
		demand := o.scheduler.Demand(m.now)
		demand.LimitReleasable(modelMaxReleasable)
		o.reports = append(o.reports, modelReport{at: m.now, demand: demand, drained: o.scheduler.Drained(m.now)})
	}
}

// register registers the upstreams of an owner's pool and unregisters those that ended.
func (m *model) register(o *modelOwner) {
	for _, id := range m.ids {
		instance := m.instances[id]
		if instance.Pool != o.pool || instance.Status != bbrmachine.StatusUp {
			continue
		}
		o.scheduler.RegisterUpstream(bbrwork.Upstream{
			Incarnation: bbrwork.Incarnation{ID: instance.Upstream, StartMillis: instance.startedAt.UnixMilli()},
			Service:     o.pool,
			Capacity:    instance.Capacity,
			Labels:      instance.Labels,
		}, m.now)
	}
	for _, upstream := range o.scheduler.UpstreamIDs() {
		if m.current(upstream) == nil {
			o.scheduler.UnregisterUpstream(upstream, m.now)
		}
	}
}

func (m *model) sendStart(o *modelOwner, order bbrscheduler.StartOrder) {
	instance, err := m.reachable(order.Upstream.ID)
	if err != nil {
		o.scheduler.ApplyStartResult(order, 0, err, m.now)
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
		o.scheduler.ApplyStartResult(order, 0, bbrorder.ErrAnswerLost, m.now)
		return
	}
	o.scheduler.ApplyStartResult(order, instance.clock(m.now), err, m.now)
}

func (m *model) sendStop(o *modelOwner, order bbrscheduler.StopOrder) {
	instance, err := m.reachable(order.Upstream.ID)
	if err != nil {
		o.scheduler.ApplyStopResult(order, err, m.now)
		return
	}
	if at := instance.indexOf(order.Stop.Unit, order.Stop.Run); at >= 0 {
		m.end(instance, instance.running[at], bbrwork.OutcomeStopped)
	}
	instance.highestEnded[order.Stop.Unit] = max(instance.highestEnded[order.Stop.Unit], order.Stop.Run)
	o.scheduler.ApplyStopResult(order, nil, m.now)
}

// renewLease renews the run lease of an upstream and applies its listing.
func (m *model) renewLease(o *modelOwner, id string) {
	plan, known := o.scheduler.PlanRenewal(id, true, m.now)
	if !known || plan.Idle {
		return
	}
	instance, err := m.reachable(id)
	if err != nil {
		o.scheduler.ApplyRenewalFailure(plan.Upstream.Incarnation, err, m.now)
		return
	}
	instance.lease = max(instance.lease, plan.LeaseUntil)
	m.acknowledge(instance, plan.Acknowledged)
	listing := bbrwork.Listing{Clock: instance.clock(m.now), StartMillis: instance.startedAt.UnixMilli()}
	for _, end := range instance.unacknowledged {
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
	o.scheduler.ApplyListing(plan.Upstream.Incarnation, &listing, m.now, m.now)
}

// store stores the owner's next batch of writes.
func (o *modelOwner) store(now time.Time) {
	batch := o.scheduler.Batch(1000, now)
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
	o.scheduler.ApplyStored(batch, o.revision, now)
}
