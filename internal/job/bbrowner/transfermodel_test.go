package bbrowner

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrmetric"
	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrcell"
	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrclaim"
	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrregistry"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrorder"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrrecord"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrscheduler"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
	"github.com/bluebellridge/bluebellridge/internal/store/bbrkv"
)

const (
	cellsService   = "press"
	cellsStep      = 50 * time.Millisecond
	cellsUnitCores = 2000
	// cellsMaxWait is how long a work unit may wait while the pool has room for all that
	// waits.
	cellsMaxWait = 2 * time.Second
)

// cellsModel runs the owners of a service's shards, one in each cell, against one store and
// simulated upstreams, and collects violations of what callers are promised. The time is that
// of a synctest bubble.
type cellsModel struct {
	random   *rand.Rand
	revision bbrkv.Revision
	items    map[string]bbrkv.Item
	// history has the jobs in the store as of the last steps, for outdated lists.
	history [][]bbrkv.Item
	// faults is the chance in percent that the answer of a transaction is lost; the
	// transaction is then applied at once, later or never.
	faults int
	late   []bbrkv.Transaction
	// failing is set while the store refuses all calls.
	failing bool
	cells   *bbrcell.Cells
	owners  []*Owner
	// loaders has the loaders of the owners.
	loaders map[*Owner]*loader
	ups     []*cellsUpstream
	// version is that of the registrations.
	version   bbrregistry.Version
	jobs      map[string]*cellsJob
	cancelled map[string]bool
	// waitsCountFrom is the time from which waits are checked.
	waitsCountFrom time.Time
	violations     []string
	// staysInCell disables transfers.
	staysInCell bool
	// longRunning counts the long-running work units.
	longRunning int
	// moved counts the jobs that were stored in another cell.
	moved int
}

// cellsJob is a job with the state of its work units in the model.
type cellsJob struct {
	job   *bbrwork.Job
	units map[bbrwork.Unit]*cellsUnit
	ended bbrwork.State
	// waiting is the number of the work units that could run and do not, and fitsSince since
	// when the pool has had room for all that waits while none of the job's runs; zero for not
	// now.
	waiting   int
	fitsSince time.Time
}

type cellsUnit struct {
	runsOn *cellsUpstream
	starts int
	done   bool
}

type cellsUpstream struct {
	id        string
	cell      int
	capacity  bbrwork.Resources
	startedAt time.Time
	lease     time.Duration
	runs      []cellsRun
	ends      []bbrwork.RunEnd
	sequence  int64
	highest   map[bbrwork.Unit]int
	// cutUntil is the time until which owners do not reach the upstream.
	cutUntil time.Time
}

type cellsRun struct {
	unit   bbrwork.Unit
	number int
	need   bbrwork.Resources
	endsAt time.Time
}

// newCellsModel returns a model with a number of upstreams in each cell.
func newCellsModel(seed uint64, sizes ...int) *cellsModel {
	m := &cellsModel{loaders: make(map[*Owner]*loader), random: rand.New(rand.NewPCG(seed, 1)), revision: 1, items: make(map[string]bbrkv.Item), cells: &bbrcell.Cells{CellByRack: make(map[string]int)},
		jobs: make(map[string]*cellsJob), cancelled: make(map[string]bool), version: bbrregistry.Version{ServiceChanges: 1}}
	for cell, size := range sizes {
		m.cells.Sizes = append(m.cells.Sizes, max(1, size))
		rack := fmt.Sprintf("rack-%d", cell)
		m.cells.CellByRack[rack] = cell
		for n := range size {
			m.ups = append(m.ups, &cellsUpstream{id: fmt.Sprintf("i-%d-%d", cell, n), cell: cell, capacity: bbrwork.Resources{MilliCPU: 2 * cellsUnitCores, MemoryMB: 8000},
				startedAt: time.Now(), highest: make(map[bbrwork.Unit]int)})
		}
		m.owners = append(m.owners, nil)
	}
	for cell := range sizes {
		m.takeOver(cell)
	}
	return m
}

// store returns the store as an owner sees it.
func (m *cellsModel) store() *bbrkv.Store {
	return &bbrkv.Store{
		Get: func(_ context.Context, key string) (bbrkv.Item, error) {
			item, ok := m.items[key]
			if !ok {
				return item, bbrkv.ErrNotFound
			}
			return item, nil
		},
		Range: func(_ context.Context, prefix, _ string) (bbrkv.Page, error) {
			if m.failing {
				return bbrkv.Page{}, bbrkv.ErrRefused
			}
			return bbrkv.Page{Items: m.list(prefix), AsOf: m.revision}, nil
		},
		Commit: m.commit,
	}
}

func (m *cellsModel) list(prefix string) []bbrkv.Item {
	var items []bbrkv.Item
	for _, key := range slices.Sorted(maps.Keys(m.items)) {
		if strings.HasPrefix(key, prefix) {
			items = append(items, m.items[key])
		}
	}
	return items
}

func (m *cellsModel) commit(ctx context.Context, transaction bbrkv.Transaction) (bbrkv.Revision, error) {
	if transaction.Size() > bbrkv.MaxTransactionSize {
		return 0, bbrkv.ErrInvalid
	}
	if m.failing {
		return 0, bbrkv.ErrRefused
	}
	if m.random.IntN(100) >= m.faults || ctx.Err() != nil {
		return m.apply(transaction)
	}
	switch m.random.IntN(4) {
	case 0:
		return 0, bbrkv.ErrRefused
	case 1:
		m.late = append(m.late, transaction)
	case 2:
		if _, err := m.apply(transaction); err != nil {
			m.late = append(m.late, transaction)
		}
	}
	return 0, bbrkv.ErrAnswerLost
}

func (m *cellsModel) apply(transaction bbrkv.Transaction) (bbrkv.Revision, error) {
	conflict := &bbrkv.Conflict{Items: make(map[string]bbrkv.Item)}
	met := true
	for _, condition := range transaction.Conditions {
		item, ok := m.items[condition.Key]
		met = met && item.Revision == condition.Revision
		if ok {
			conflict.Items[condition.Key] = item
		}
	}
	if !met {
		return 0, conflict
	}
	m.revision++
	for _, put := range transaction.Puts {
		if _, known := m.items[put.Key]; !known && strings.HasPrefix(put.Key, bbrrecord.JobPrefix) {
			m.moved++
		}
		m.items[put.Key] = bbrkv.Item{Key: put.Key, Value: put.Value, Revision: m.revision}
	}
	for _, key := range transaction.Removals {
		delete(m.items, key)
	}
	return m.revision, nil
}

// takeOver gives a cell's shard another owner, which loads what is stored.
func (m *cellsModel) takeOver(cell int) {
	shard := bbrwork.Shard{Service: cellsService, Cell: cell}
	m.revision++
	key := bbrclaim.ClaimKey(shard.String())
	m.items[key] = bbrkv.Item{Key: key, Value: []byte("{}"), Revision: m.revision}
	queue := &bbrwork.Queue{Name: "proofs", Service: cellsService, Attempts: 3, Stretch: 2, Objective: time.Second}
	config := bbrwork.NewConfig(1, []*bbrwork.Queue{queue}, nil, bbrwork.Limits{})
	o := &Owner{
		Held:  bbrclaim.HeldClaim{Name: shard.String(), Token: m.revision},
		Shard: shard,
		Store: m.store(),
		Timing: bbrscheduler.Timing{RunLease: 4500 * time.Millisecond, MaxRunLease: 6 * time.Second, StartTimeout: 1500 * time.Millisecond, Handover: 2200 * time.Millisecond,
			StopTimeout: 900 * time.Millisecond, RecoveryTime: 4500 * time.Millisecond, RemoteDataFactor: 3},
		Metrics:   bbrmetric.New(),
		Confirmed: func(time.Time) bool { return true },
		Config:    func() *bbrwork.Config { return config },
		Reserved:  func() (map[string]bool, bbrkv.Revision) { return nil, 0 },
		Registered: func(bbrwork.Shard, bbrregistry.Version) ([]bbrwork.Upstream, bbrregistry.Version) {
			return m.registered(cell), m.version
		},
		wake: make(chan struct{}, 1), flushNow: make(chan struct{}, 1), adjustShares: make(chan struct{}, 1),
		cancelRun: func() {},
	}
	if !m.staysInCell {
		o.Cells = func() *bbrcell.Cells { return m.cells }
	}
	o.loading.start(time.Now())
	records, _ := o.readStoredRecords(context.Background())
	o.begin(records, time.Now(), time.Now())
	l := newLoader(o)
	l.load(context.Background())
	m.loaders[o] = l
	m.owners[cell] = o
}

func (m *cellsModel) registered(cell int) []bbrwork.Upstream {
	var list []bbrwork.Upstream
	for _, up := range m.ups {
		if up.cell == cell {
			list = append(list, bbrwork.Upstream{Incarnation: bbrwork.Incarnation{ID: up.id, StartMillis: up.startedAt.UnixMilli()}, Service: cellsService,
				Capacity: up.capacity, Labels: []string{"a", fmt.Sprintf("rack-%d", cell)}})
		}
	}
	return list
}

// accept stores a job in a cell.
func (m *cellsModel) accept(cell int, steps ...bbrwork.Step) *cellsJob {
	job := &bbrwork.Job{ID: fmt.Sprintf("%016x", len(m.jobs)+1), Queue: "proofs", Service: cellsService, Cell: cell, Spec: "x", Steps: steps, Accepted: time.Now()}
	record, err := bbrrecord.EncodeJob(job)
	if err != nil {
		panic(err)
	}
	m.revision++
	for key, value := range map[string][]byte{bbrrecord.StatusKey(job.ID): bbrrecord.Encode(bbrrecord.StatusOf(job)), bbrrecord.JobKey(job.Shard(), job.ID): record} {
		m.items[key] = bbrkv.Item{Key: key, Value: value, Revision: m.revision}
	}
	j := &cellsJob{job: job, units: make(map[bbrwork.Unit]*cellsUnit)}
	for number := range steps {
		for index := range steps[number].Count {
			j.units[bbrwork.Unit{Job: job.ID, Step: number, Index: index}] = &cellsUnit{}
		}
	}
	m.jobs[job.ID] = j
	return j
}

// cancel stores a cancellation request, as an entry does.
func (m *cellsModel) cancel(j *cellsJob) {
	item := m.items[bbrrecord.StatusKey(j.job.ID)]
	var status bbrrecord.Status
	if json.Unmarshal(item.Value, &status) != nil || status.State != "" {
		return
	}
	if _, err := m.apply(bbrkv.Transaction{Conditions: []bbrkv.Condition{{Key: item.Key, Revision: item.Revision}},
		Puts: []bbrkv.Put{{Key: bbrrecord.CancelKey(status.Shard(), j.job.ID), Value: []byte("{}")}}}); err == nil {
		m.cancelled[j.job.ID] = true
	}
}

// run advances the model by d.
func (m *cellsModel) run(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		m.step()
	}
}

func (m *cellsModel) step() {
	time.Sleep(cellsStep)
	if len(m.late) > 0 && m.random.IntN(4) == 0 {
		_, _ = m.apply(m.late[0]) // A late transaction has no caller.
		m.late = m.late[1:]
	}
	now := time.Now()
	for _, up := range m.ups {
		up.tick(m, now)
	}
	m.history = append(m.history, m.list(bbrrecord.JobPrefix))
	m.history = m.history[max(0, len(m.history)-40):]
	for _, o := range m.owners {
		m.runOwner(o, now)
	}
	m.check(time.Now())
}

// serve runs one round of an owner that stores nothing. What it reads of jobs is sometimes
// outdated.
func (m *cellsModel) serve(o *Owner, now time.Time) {
	items := m.list(bbrrecord.JobPrefixOf(o.Shard))
	if m.faults > 0 && m.random.IntN(3) == 0 {
		items = nil
		for _, item := range m.history[m.random.IntN(len(m.history))] {
			if strings.HasPrefix(item.Key, bbrrecord.JobPrefixOf(o.Shard)) && item.Revision > o.Held.Token {
				items = append(items, item)
			}
		}
	}
	o.jobsSnapshot(items, 0, now)
	o.cancelJobs(m.list(bbrrecord.CancelPrefixOf(o.Shard)), now)
	o.refresh(now)
	plan := o.scheduler.Plan(true, now)
	o.scheduler.Notes()
	for _, order := range plan.Starts {
		up := m.upstream(order.Upstream.ID)
		err := m.start(up, o, order.Start, now)
		o.scheduler.ApplyStartResult(order, now.Sub(up.startedAt), err, now)
	}
	for _, order := range plan.Stops {
		up := m.upstream(order.Upstream.ID)
		if now.Before(up.cutUntil) {
			o.scheduler.ApplyStopResult(order, bbrorder.ErrNotSent, now)
			continue
		}
		if at := slices.IndexFunc(up.runs, func(r cellsRun) bool { return r.unit == order.Stop.Unit && r.number == order.Stop.Run }); at >= 0 {
			up.end(m, at, bbrwork.OutcomeStopped)
		}
		o.scheduler.ApplyStopResult(order, nil, now)
	}
	for _, id := range o.scheduler.UpstreamIDs() {
		renewal, known := o.scheduler.PlanRenewal(id, true, now)
		if !known || renewal.Idle {
			continue
		}
		up := m.upstream(id)
		if now.Before(up.cutUntil) {
			o.scheduler.ApplyRenewalFailure(renewal.Upstream.Incarnation, bbrorder.ErrNotSent, now)
			continue
		}
		up.lease = max(up.lease, renewal.LeaseUntil)
		up.ends = slices.DeleteFunc(up.ends, func(e bbrwork.RunEnd) bool { return e.Sequence <= renewal.Acknowledged })
		listing := bbrwork.Listing{Clock: now.Sub(up.startedAt), StartMillis: up.startedAt.UnixMilli(), Ended: slices.Clone(up.ends)}
		for _, r := range up.runs {
			listing.Running = append(listing.Running, bbrwork.Run{Unit: r.unit, Number: r.number, Percent: 100})
		}
		o.scheduler.ApplyListing(renewal.Upstream.Incarnation, &listing, now, now)
	}
}

// readListed reads the jobs of which upstreams list runs or ends, as listedJobReader does.
func (m *cellsModel) readListed(o *Owner) {
	l := m.loaders[o]
	for id := l.beginListed(); id != ""; id = l.beginListed() {
		err := l.readListed(context.Background(), id)
		l.endListed(id)
		if err != nil {
			return
		}
	}
}

// runOwner runs one round of an owner.
func (m *cellsModel) runOwner(o *Owner, now time.Time) {
	m.readListed(o)
	m.serve(o, now)
	if now.UnixMilli()%transferInterval.Milliseconds() < cellsStep.Milliseconds() {
		o.transferRound(context.Background(), now)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	if err := (&flusher{owner: o}).flush(ctx); err != nil && !m.failing && m.faults == 0 {
		m.violate("flush of %s: %v", o.Shard, err)
	}
}

func (m *cellsModel) upstream(id string) *cellsUpstream {
	return m.ups[slices.IndexFunc(m.ups, func(up *cellsUpstream) bool { return up.id == id })]
}

// start carries out a start and records the violations that it causes.
func (m *cellsModel) start(up *cellsUpstream, o *Owner, start bbrorder.Start, now time.Time) error {
	switch {
	case now.Before(up.cutUntil):
		return bbrorder.ErrNotSent
	case now.Sub(up.startedAt) > start.Until:
		return bbrorder.ErrExpired
	case start.Run <= up.highest[start.Unit]:
		return bbrorder.ErrStaleRun
	}
	j := m.jobs[start.Unit.Job]
	u := j.units[start.Unit]
	var status bbrrecord.Status
	if json.Unmarshal(m.items[bbrrecord.StatusKey(j.job.ID)].Value, &status) != nil || status.State != "" || status.Shard() != o.Shard {
		m.violate("%s starts in %s, its status is %+v", start.Unit, o.Shard, status)
	}
	if u.runsOn != nil || u.done {
		m.violate("TWICE: %s starts on %s, done: %v", start.Unit, up.id, u.done)
	}
	step := &j.job.Steps[start.Unit.Step]
	r := cellsRun{unit: start.Unit, number: start.Run, need: step.Need}
	if !step.LongRunning {
		r.endsAt = now.Add(step.Estimate)
	}
	up.runs = append(up.runs, r)
	up.lease = max(up.lease, start.Until)
	u.runsOn = up
	u.starts++
	return nil
}

func (up *cellsUpstream) tick(m *cellsModel, now time.Time) {
	for at := len(up.runs) - 1; at >= 0; at-- {
		r := up.runs[at]
		switch {
		case now.Sub(up.startedAt) > up.lease:
			up.end(m, at, bbrwork.OutcomeLeaseExpired)
		case !r.endsAt.IsZero() && !now.Before(r.endsAt):
			outcome := bbrwork.OutcomeDone
			if m.faults > 0 && r.number%16 == 1 && m.random.IntN(6) == 0 {
				outcome = bbrwork.OutcomeFailed
			}
			up.end(m, at, outcome)
		}
	}
}

func (up *cellsUpstream) end(m *cellsModel, at int, outcome bbrwork.RunOutcome) {
	r := up.runs[at]
	up.runs = slices.Delete(up.runs, at, at+1)
	up.highest[r.unit] = max(up.highest[r.unit], r.number)
	up.sequence++
	up.ends = append(up.ends, bbrwork.RunEnd{Sequence: up.sequence, Unit: r.unit, Run: r.number, Outcome: outcome})
	u := m.jobs[r.unit.Job].units[r.unit]
	u.runsOn, u.done = nil, u.done || outcome == bbrwork.OutcomeDone
}

func (up *cellsUpstream) free() bbrwork.Resources {
	free := up.capacity
	for _, r := range up.runs {
		free = free.Minus(r.need)
	}
	return free
}

// check records violations of the state in the store, and waits while the pool has room.
func (m *cellsModel) check(now time.Time) {
	shards := make(map[string][]string)
	for _, item := range m.list(bbrrecord.JobPrefix) {
		shard, _, _ := strings.Cut(strings.TrimPrefix(item.Key, bbrrecord.JobPrefix+cellsService+"/"), "/")
		shards[bbrrecord.JobID(item.Key)] = append(shards[bbrrecord.JobID(item.Key)], shard)
	}
	waiting := 0
	for _, id := range slices.Sorted(maps.Keys(m.jobs)) {
		j := m.jobs[id]
		var status bbrrecord.Status
		if err := json.Unmarshal(m.items[bbrrecord.StatusKey(id)].Value, &status); err != nil {
			m.violate("LOST: %s has no status", id)
			continue
		}
		switch {
		case j.ended != "" && status.State != j.ended:
			m.violate("%s is %q after it was %q", id, status.State, j.ended)
		case status.State != "" && len(shards[id]) > 0:
			m.violate("%s has ended and is stored in %v", id, shards[id])
		case status.State == "" && !slices.Equal(shards[id], []string{fmt.Sprint(status.Cell)}):
			m.violate("%s is stored in %v, its status has cell %d", id, shards[id], status.Cell)
		case m.cancelled[id] && status.State == bbrwork.Failed:
			m.violate("%s was cancelled and is %q", id, status.State)
		}
		j.ended, j.waiting = status.State, 0
		if j.ended == "" {
			j.waiting = m.waitingUnits(j)
			waiting += j.waiting
		}
	}
	m.checkWaits(waiting, now)
}

// runs reports whether a work unit of the job runs.
func (j *cellsJob) runs() bool {
	for _, u := range j.units {
		if u.runsOn != nil {
			return true
		}
	}
	return false
}

// waitingUnits returns the number of the job's work units that could run and do not.
func (m *cellsModel) waitingUnits(j *cellsJob) int {
	count := 0
	for unit, u := range j.units {
		if u.runsOn == nil && !u.done && !slices.ContainsFunc(j.job.Steps[unit.Step].DependsOn, func(earlier int) bool {
			for other, v := range j.units {
				if other.Step == earlier && !v.done {
					return true
				}
			}
			return false
		}) {
			count++
		}
	}
	return count
}

// checkWaits records a violation if a job without a run waits although the pool has had room
// for all that waits for cellsMaxWait. Jobs with a run wait for room in their cell.
func (m *cellsModel) checkWaits(waiting int, now time.Time) {
	slots := 0
	for _, up := range m.ups {
		slots += (bbrwork.Resources{MilliCPU: cellsUnitCores}).FitCount(up.free(), 100)
	}
	for _, id := range slices.Sorted(maps.Keys(m.jobs)) {
		j := m.jobs[id]
		switch {
		case j.waiting == 0 || j.runs() || waiting > slots || m.faults > 0 || now.Before(m.waitsCountFrom):
			j.fitsSince = time.Time{}
		case j.fitsSince.IsZero():
			j.fitsSince = now
		case now.Sub(j.fitsSince) > cellsMaxWait:
			m.violate("LOST: %s waits while %d work units wait and %d fit", id, waiting, slots)
			j.fitsSince = now
		}
	}
}

func (m *cellsModel) violate(format string, args ...any) {
	m.violations = append(m.violations, fmt.Sprintf(format, args...))
}
