package bbrscheduler

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrorder"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
	"github.com/bluebellridge/bluebellridge/internal/store/bbrkv"
)

// world is upstreams, a store and owners under a virtual clock. It does what
// the platform promises and notes what breaks a promise of the project.
type world struct {
	now       time.Time
	upstreams map[string]*simUpstream
	owners    []*simOwner
	// late are orders that are carried out when their time comes.
	late  []lateOrder
	store simStore
	// units is what really happened to each work unit.
	units  map[bbrwork.Unit]*simUnit
	faults []string
	// advice counts the calls to the advice service.
	advice int
}

type lateOrder struct {
	at      time.Time
	deliver func()
}

// simStore is what the store holds.
type simStore struct {
	token int64
	// revision rises with each change; stored has those of the jobs.
	revision bbrkv.Revision
	horizon  bbrkv.Revision
	stored   map[string]bbrkv.Revision
	jobs     map[string]*bbrwork.Job
	progress map[string][]byte
	final    map[string]bbrwork.State
	lives    []bbrwork.Upstream
	written  bool
}

// simUnit is the history of a work unit.
type simUnit struct {
	lastStart time.Time
	done      bool
	// noted means that an end as done was acknowledged under a lease that had
	// not lapsed since.
	noted  bool
	failed int
}

type simRun struct {
	unit   bbrwork.Unit
	number int
	ends   time.Duration
	how    bbrwork.RunOutcome
}

type simEnd struct {
	bbrwork.RunEnd
	at time.Time
	// lapsed means that the lease ended after this end.
	lapsed bool
}

// simUpstream is one life of an upstream.
type simUpstream struct {
	world   *world
	reg     bbrwork.Upstream
	started time.Time
	// slow makes the clock run 2% slow.
	slow    bool
	up, cut bool
	token   int64
	lease   time.Duration
	running map[runKey]*simRun
	ended   map[bbrwork.Unit]int
	ends    []*simEnd
	count   int64
	seen    int64
}

func newWorld(ids ...string) *world {
	w := &world{
		now:       time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC),
		upstreams: make(map[string]*simUpstream),
		units:     make(map[bbrwork.Unit]*simUnit),
		store:     simStore{stored: make(map[string]bbrkv.Revision), jobs: make(map[string]*bbrwork.Job), progress: make(map[string][]byte), final: make(map[string]bbrwork.State)},
	}
	for i, id := range ids {
		w.boot(id, i%2 == 0)
	}
	return w
}

// testQueues are the queues of the world: one whose steps need advice, and one
// whose steps do not.
var testQueues = []*bbrwork.Queue{
	{Name: "proofs", Service: "press", Attempts: 3, Stretch: 1.6},
	{Name: "plates", Service: "press", Attempts: 3, Stretch: 1.6, Advice: &bbrwork.Advice{TicketTTL: ticketLife}},
}

const ticketLife = 2 * time.Second

// labelsOf returns the labels of an upstream: every second one of a kind, and
// two to a rack.
func labelsOf(id string) []string {
	number := int(id[len(id)-1] - '0')
	return []string{fmt.Sprintf("kind-%d", number%2), fmt.Sprintf("r-%d", number/2)}
}

// mayRunStep is the advice service's policy: a step may run on all upstreams
// but one.
func mayRunStep(step, id string) bool {
	return int(step[len(step)-1]-'0')%3 != int(id[len(id)-1]-'0')%3
}

// advise answers a call to the advice service.
func (w *world) advise(order AdviceRequest) map[string]string {
	w.advice++
	tickets := make(map[string]string)
	for _, life := range order.Incarnations {
		if up := w.upstreams[life.ID]; up != nil && up.reg.Incarnation == life && mayRunStep(order.Step, life.ID) {
			tickets[life.ID] = fmt.Sprintf("%s %d %d", order.Step, life.StartMillis, w.now.Add(ticketLife).UnixMilli())
		}
	}
	return tickets
}

// takesTicket reports whether a start's ticket holds.
func (u *simUpstream) takesTicket(start bbrorder.Start) bool {
	if u.world.store.jobs[start.Unit.Job].Queue != "plates" {
		return true
	}
	var step string
	var born, until int64
	if _, err := fmt.Sscanf(start.Ticket, "%s %d %d", &step, &born, &until); err != nil {
		return false
	}
	return step == start.Unit.StepName() && born == u.reg.StartMillis && u.world.now.UnixMilli() <= until && mayRunStep(step, u.reg.ID)
}

func (w *world) fault(format string, args ...any) {
	w.faults = append(w.faults, fmt.Sprintf(format, args...))
}

// boot begins a new life under the ID.
func (w *world) boot(id string, slow bool) {
	w.upstreams[id] = &simUpstream{
		world: w,
		reg: bbrwork.Upstream{
			Incarnation: bbrwork.Incarnation{ID: id, StartMillis: w.now.UnixMilli()},
			Service:     "press",
			Capacity:    bbrwork.Resources{MilliCPU: 4000, MemoryMB: 8000},
			Labels:      labelsOf(id),
		},
		started: w.now,
		slow:    slow,
		up:      true,
		running: make(map[runKey]*simRun),
		ended:   make(map[bbrwork.Unit]int),
	}
}

func (u *simUpstream) clock() time.Duration {
	passed := u.world.now.Sub(u.started)
	if u.slow {
		passed = passed * 98 / 100
	}
	return passed.Truncate(time.Millisecond)
}

func (w *world) unit(name bbrwork.Unit) *simUnit {
	if w.units[name] == nil {
		w.units[name] = &simUnit{}
	}
	return w.units[name]
}

// advance lets time pass in small steps.
func (w *world) advance(d time.Duration) {
	const step = 10 * time.Millisecond
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(step)
		for _, id := range slices.Sorted(maps.Keys(w.upstreams)) {
			w.upstreams[id].tick()
		}
		due := w.late
		w.late = nil
		for _, order := range due {
			if w.now.Before(order.at) {
				w.late = append(w.late, order)
				continue
			}
			order.deliver()
		}
	}
}

func (u *simUpstream) tick() {
	if !u.up {
		return
	}
	// The lease is over also where nothing runs any more.
	if u.lease > 0 && u.clock() > u.lease {
		for _, end := range u.ends {
			end.lapsed = true
		}
		for _, run := range u.sorted() {
			u.end(run, bbrwork.OutcomeLeaseExpired)
		}
	}
	for _, run := range u.sorted() {
		switch {
		case u.clock() < run.ends || u.running[runKey{run.unit, run.number}] == nil:
		case u.world.shape(run.unit).Gang:
			u.world.endGang(u, run)
		default:
			u.end(run, run.how)
		}
	}
}

func (w *world) shape(name bbrwork.Unit) *bbrwork.Step {
	return &w.store.jobs[name.Job].Steps[name.Step]
}

// gangWait is how long a member of a gang waits for the others.
const gangWait = 3 * time.Second

// endGang ends a gang whose member has worked for long enough: all are done
// together, or the others break. A member that lacks others waits for them.
func (w *world) endGang(at *simUpstream, member *simRun) {
	type place struct {
		up  *simUpstream
		run *simRun
	}
	var places []place
	for _, id := range slices.Sorted(maps.Keys(w.upstreams)) {
		up := w.upstreams[id]
		for _, run := range up.sorted() {
			if up.up && run.unit.StepName() == member.unit.StepName() && run.number == member.number {
				places = append(places, place{up, run})
			}
		}
	}
	if len(places) < w.shape(member.unit).Count {
		if at.clock() > member.ends+gangWait {
			at.end(member, bbrwork.OutcomeGangIncomplete)
		}
		return
	}
	for _, p := range places {
		how := member.how
		if how != bbrwork.OutcomeDone && p.run != member {
			how = bbrwork.OutcomeGangBroken
		}
		p.up.end(p.run, how)
	}
}

func (u *simUpstream) sorted() []*simRun {
	runs := slices.Collect(maps.Values(u.running))
	slices.SortFunc(runs, func(a, b *simRun) int {
		if a.unit.String() < b.unit.String() {
			return -1
		}
		return 1
	})
	return runs
}

func (u *simUpstream) end(run *simRun, how bbrwork.RunOutcome) {
	delete(u.running, runKey{run.unit, run.number})
	u.ended[run.unit] = max(u.ended[run.unit], run.number)
	u.count++
	u.ends = append(u.ends, &simEnd{RunEnd: bbrwork.RunEnd{Sequence: u.count, Unit: run.unit, Run: run.number, Outcome: how}, at: u.world.now})
	if how == bbrwork.OutcomeDone {
		u.world.unit(run.unit).done = true
	}
}

// fenced applies the fencing token of an order.
func (u *simUpstream) fenced(life bbrwork.Incarnation, token int64) error {
	switch {
	case !u.up:
		return bbrorder.ErrAnswerLost
	case life != u.reg.Incarnation:
		return bbrorder.ErrOtherIncarnation
	case token < u.token:
		return bbrorder.ErrFenced
	}
	u.token = token
	return nil
}

func (u *simUpstream) start(order StartOrder, length time.Duration, how bbrwork.RunOutcome) error {
	if err := u.fenced(order.Upstream.Incarnation, order.Start.Token); err != nil {
		return err
	}
	key := runKey{order.Start.Unit, order.Start.Run}
	switch {
	case u.running[key] != nil:
		return nil
	case order.Start.Until < u.clock():
		return bbrorder.ErrExpired
	case order.Start.Run <= u.ended[order.Start.Unit]:
		u.lease = max(u.lease, order.Start.Until)
		return bbrorder.ErrStaleRun
	case !u.takesTicket(order.Start):
		return bbrorder.ErrTicketRejected
	}
	u.world.check(order.Start.Unit, u)
	u.checkPlace(order.Start.Unit)
	u.lease = max(u.lease, order.Start.Until)
	u.running[key] = &simRun{unit: order.Start.Unit, number: order.Start.Run, ends: u.clock() + length, how: how}
	u.world.unit(order.Start.Unit).lastStart = u.world.now
	return nil
}

// check notes what a start breaks.
func (w *world) check(name bbrwork.Unit, at *simUpstream) {
	for _, id := range slices.Sorted(maps.Keys(w.upstreams)) {
		up := w.upstreams[id]
		for key := range up.running {
			if up.up && key.unit == name {
				w.fault("TWICE: %s starts on %s and runs on %s", name, at.reg.ID, id)
			}
		}
	}
	unit := w.unit(name)
	if unit.noted {
		w.fault("TWICE: %s starts after its end as done was noted", name)
	}
	job := w.store.jobs[name.Job]
	if unit.failed >= 3 {
		w.fault("BUDGET: %s starts after %d failures", name, unit.failed)
	}
	for _, earlier := range job.Steps[name.Step].DependsOn {
		for index := range job.Steps[earlier].Count {
			if !w.unit(bbrwork.Unit{Job: name.Job, Occurrence: name.Occurrence, Step: earlier, Index: index}).done {
				w.fault("ORDER: %s starts before step %d is done", name, earlier)
			}
		}
	}
}

// checkPlace notes what a start breaks here: room, label, and how many work
// units of a step may be together. What ran under an earlier owner counts.
func (u *simUpstream) checkPlace(name bbrwork.Unit) {
	w := u.world
	job := w.store.jobs[name.Job]
	shape := &job.Steps[name.Step]
	used, together := shape.Allocation(), 1
	for key := range u.running {
		used = used.Plus(w.store.jobs[key.unit.Job].Steps[key.unit.Step].Allocation())
		if key.unit.StepName() == name.StepName() {
			together++
		}
	}
	if !used.Fits(u.reg.Capacity) {
		w.fault("LIMIT: %s brings %s over its room: %+v", name, u.reg.ID, used)
	}
	if !u.reg.HasLabel(shape.Label) {
		w.fault("ROUTE: %s starts on %s, which lacks %s", name, u.reg.ID, shape.Label)
	}
	if shape.MaxPerUpstream > 0 && together > shape.MaxPerUpstream {
		w.fault("ROUTE: %s is one of %d of its step on %s", name, together, u.reg.ID)
	}
	if w.now.Before(job.Schedule.Due(name.Occurrence)) {
		w.fault("ORDER: %s starts before it is due", name)
	}
}

func (u *simUpstream) stop(order StopOrder) error {
	if err := u.fenced(order.Upstream.Incarnation, order.Stop.Token); err != nil {
		return err
	}
	if run := u.running[runKey{order.Stop.Unit, order.Stop.Run}]; run != nil {
		u.end(run, bbrwork.OutcomeStopped)
	}
	u.ended[order.Stop.Unit] = max(u.ended[order.Stop.Unit], order.Stop.Run)
	return nil
}

func (u *simUpstream) hold(life bbrwork.Incarnation, hold bbrorder.Renewal) (bbrwork.Listing, error) {
	if err := u.fenced(life, hold.Token); err != nil {
		return bbrwork.Listing{}, err
	}
	u.lease = max(u.lease, hold.Until)
	u.acknowledge(hold.Acknowledged)
	listing := bbrwork.Listing{Clock: u.clock(), StartMillis: u.reg.StartMillis}
	for _, run := range u.sorted() {
		listing.Running = append(listing.Running, bbrwork.Run{Unit: run.unit, Number: run.number})
	}
	for _, end := range u.ends {
		if end.Sequence > u.seen {
			listing.Ended = append(listing.Ended, end.RunEnd)
		}
	}
	return listing, nil
}

func (u *simUpstream) acknowledge(number int64) {
	for _, end := range u.ends {
		if end.Sequence <= u.seen || end.Sequence > number || end.lapsed {
			continue
		}
		unit := u.world.unit(end.Unit)
		switch end.Outcome {
		case bbrwork.OutcomeDone:
			unit.noted = true
			if unit.lastStart.After(end.at) {
				u.world.fault("TWICE: %s was started after it ended as done on %s, and that end is noted", end.Unit, u.reg.ID)
			}
		case bbrwork.OutcomeFailed:
			unit.failed++
		}
	}
	u.seen = max(u.seen, number)
}

// simOwner is an owner with its view of the claim.
type simOwner struct {
	world  *world
	ledger *Scheduler
	token  int64
	// until is when the owner stops believing in a claim that it lost; zero while
	// it holds it.
	until time.Time
	dead  bool
}

// claim makes a new owner. The earlier one may act a while longer.
func (w *world) claim() *simOwner {
	for _, o := range w.owners {
		if o.until.IsZero() {
			o.until = w.now.Add(testTiming.Handover)
		}
	}
	w.store.token += 10
	o := &simOwner{world: w, token: w.store.token}
	o.ledger = New(bbrwork.Shard{Service: "press"}, o.token, testTiming, !w.store.written, w.now)
	o.ledger.SetConfig(bbrwork.NewConfig(1, testQueues, nil, bbrwork.Limits{}))
	for _, id := range slices.Sorted(maps.Keys(w.store.jobs)) {
		o.learn(id)
	}
	o.ledger.FinishLoading(w.store.lives, w.store.horizon, w.now)
	w.owners = append(w.owners, o)
	return o
}

func (o *simOwner) learn(id string) {
	w := o.world
	if w.store.final[id] == "" {
		o.ledger.AddJob(w.store.jobs[id], w.store.stored[id], w.store.progress[id], w.now)
	}
}

func (o *simOwner) confirmed() bool {
	return !o.dead && (o.until.IsZero() || o.world.now.Before(o.until))
}

// flush stores what the ledger has, if the claim still stands.
func (o *simOwner) flush() {
	w := o.world
	batch := o.ledger.Batch(1000, w.now)
	if o.token != w.store.token {
		return
	}
	w.store.revision++
	w.store.horizon = batch.Horizon
	for _, write := range batch.Writes {
		if write.FinalState == "" {
			w.store.progress[write.Job.ID] = write.Progress
			continue
		}
		w.store.final[write.Job.ID] = write.FinalState
		w.checkFinal(write.Job, write.FinalState)
	}
	if batch.Recorded != nil {
		w.store.lives = batch.Recorded
	}
	w.store.written = true
	o.ledger.ApplyStored(batch, w.store.revision, w.now)
}

func (w *world) checkFinal(job *bbrwork.Job, state bbrwork.State) {
	if state != bbrwork.Completed {
		return
	}
	for occurrence := range job.Occurrences() {
		for number, step := range job.Steps {
			for index := range step.Count {
				if !w.unit(bbrwork.Unit{Job: job.ID, Occurrence: occurrence, Step: number, Index: index}).done {
					w.fault("MIXED: %s is completed, and a work unit has not ended as done", job.ID)
				}
			}
		}
	}
}
