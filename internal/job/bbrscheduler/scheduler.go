package bbrscheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrcrash"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrinterference"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrquota"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrreservation"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// Timing has the durations with which the scheduler works.
type Timing struct {
	// RunLease is the length of the lease that a renewal grants to the runs on an
	// upstream.
	RunLease time.Duration
	// MaxRunLease is the longest lease that upstreams allow, at least RunLease.
	MaxRunLease time.Duration
	// StartTimeout bounds the time that a start may be in transit.
	StartTimeout time.Duration
	// Handover is how long an earlier owner may still consider its claim valid
	// after this owner's began.
	Handover time.Duration
	// StopTimeout is the longest time that stopping a run takes.
	StopTimeout time.Duration
	// RecoveryTime is how long a long-running work unit may take to work again
	// after a start.
	RecoveryTime time.Duration
	// RemoteDataFactor is the factor by which work takes longer on another rack
	// than its data's.
	RemoteDataFactor float64
}

// clockError is the fraction by which an upstream's clock may run slow, and
// clockMargin covers rounding to milliseconds.
const (
	clockError  = 0.021
	clockMargin = 30 * time.Millisecond
)

// Scheduler holds the state of a shard's owner. Its methods are called by one
// goroutine at a time.
type Scheduler struct {
	Shard bbrwork.Shard
	// Token is the fencing token of the claim. Orders to an upstream carry tokenOf its ID.
	Token  int64
	Timing Timing
	// MaxValueBytes is the size of the largest value that the store takes; 0 for
	// defaultMaxValueBytes.
	MaxValueBytes int
	// ReserveCapacity means that wide work may reserve capacity, and that urgent work may
	// have other work stopped.
	ReserveCapacity bool
	// FairShares makes organisations share the capacity by weight while it is short. It
	// is set before jobs are added.
	FairShares bool

	config *bbrwork.Config
	jobs   map[string]*job
	// held accounts for the memory of the jobs' occurrences, and deferredJobs counts the jobs of
	// which something is due that does not fit.
	held         heldBytes
	deferredJobs int
	// unheld has the jobs that repeat, and others of which nothing is held.
	unheld    map[string]*job
	upstreams map[string]*upstream
	// overdueAt is when this owner was last overdue with the renewal of a lease.
	overdueAt time.Time
	// sorted has the upstreams by ID; nil after one was added or removed.
	sorted []*upstream
	// endedWithRuns has the jobs whose end is stored and that still have runs.
	endedWithRuns map[string]*job
	// claimedAt is when the claim began. After earlierLeasesEnd, nothing that an
	// earlier owner started can still run without being known.
	claimedAt, earlierLeasesEnd time.Time
	// firstOwner means that there was no earlier owner.
	firstOwner bool
	// unlocated has the incarnations on which an earlier owner may have started
	// work that is not known: those that it had recorded and that have not answered
	// yet.
	unlocated map[bbrwork.Incarnation]bool
	// unlocatedNotedAt is when the log last named the unlocated incarnations.
	unlocatedNotedAt time.Time
	dirty            map[string]*job
	// advice has the answers of the advice service, by the name of the step.
	advice  map[string]*stepAdvice
	horizon horizon
	orders  orders
	// heldForOrders has the starts that the last plan left waiting for the store.
	heldForOrders []heldForOrder
	loading       loading
	// arrivals are the recent job arrivals.
	arrivals arrivals
	// lateRate is the last requested rate at which late work must be worked off.
	lateRate resourceRate
	// lateSpread is the last requested number of upstreams over which late finite work
	// must be spread.
	lateSpread int
	// adviceInFlight counts the requests to the advice service in flight.
	adviceInFlight int
	// endedJobs has the jobs that were dropped after their end was stored. An
	// outdated list or event may still report them, and callers ask for their
	// state.
	endedJobs map[string]endedJob
	// departures has the jobs that went to another cell. An outdated list or event may still
	// report them.
	departures map[string]departure
	// endedSweptAt is when endedJobs and departures were last swept.
	endedSweptAt time.Time
	// firstIncarnations has, by ID, the start of the first incarnation that this owner has
	// known, in milliseconds since 1970.
	firstIncarnations map[string]int64
	// tokens has the fencing tokens, by ID, that are higher than the claim's, and ownRevision is
	// the revision of the last transaction of this owner; 0 before the first.
	tokens      map[string]raisedToken
	ownRevision int64
	// returns has, by ID, the upstreams that have ended and may return, and lostStarts when the
	// last start that got no answer was ordered.
	returns    map[string]awaitedReturn
	lostStarts map[string]time.Time
	// endedIncarnations has the incarnations that have certainly ended, though the
	// store may still list them.
	endedIncarnations map[bbrwork.Incarnation]bool
	// recorded has the incarnations on which this owner may start work, since the
	// store lists them for a successor. toRecord has those that should be listed.
	recorded, toRecord map[bbrwork.Incarnation]bool
	// reserved has the IDs of the upstreams that are reserved for maintenance or a
	// move.
	reserved map[string]bool
	// accounts has the uses and shares of caps by organisation.
	accounts map[string]*bbrquota.Account
	fair     fairShares
	// trial means that the scheduler is a copy on which starts are only tried
	// (placement.go).
	trial bool
	// runTimes predicts the run times of work units, by queue.
	runTimes runTimes
	// suspects has the work units under which an upstream crashed and that have not
	// been cleared.
	suspects    map[*unit]bool
	crashCounts CrashCounts
	// lapses counts the runs whose lease expired on an upstream that lives, by cause.
	lapses      map[LapseCause]int
	leaseCounts LeaseCounts
	// lostUnlocated are the ends of incarnations on which an earlier owner may have
	// started work that is not known.
	lostUnlocated []unlocatedEnd
	// failures are the recent ends of incarnations.
	failures []bbrcrash.Failure
	// reservations are the present reservations, the earliest made first.
	reservations []*reservation
	// reservationsEnded counts the others by cause, preempted the runs that were stopped
	// for urgent work, and discarded their processor time.
	reservationsEnded map[bbrreservation.Cause]int
	preempted         int
	discarded         time.Duration
	stopBudget        bbrreservation.StopBudget
	vacancies         vacancies
	notes             []Note
	notesDropped      int
	// interference has the evidence on images that slow each other down; nil if they are
	// not to be kept apart.
	interference     *bbrinterference.Tracker
	separationCounts SeparationCounts
}

// New returns a Scheduler without jobs for a claim that began now. firstOwner means
// that there was no earlier owner, so that nothing can be running yet.
func New(shard bbrwork.Shard, token int64, timing Timing, firstOwner bool, now time.Time) *Scheduler {
	return &Scheduler{
		Shard:             shard,
		Token:             token,
		Timing:            timing,
		config:            bbrwork.NewConfig(0, nil, nil, bbrwork.Limits{}),
		jobs:              make(map[string]*job),
		unheld:            make(map[string]*job),
		upstreams:         make(map[string]*upstream),
		endedWithRuns:     make(map[string]*job),
		claimedAt:         now,
		earlierLeasesEnd:  now.Add(timing.Handover + leaseBound(timing.MaxRunLease) + timing.StartTimeout),
		firstOwner:        firstOwner,
		unlocated:         make(map[bbrwork.Incarnation]bool),
		dirty:             make(map[string]*job),
		advice:            make(map[string]*stepAdvice),
		endedJobs:         make(map[string]endedJob),
		departures:        make(map[string]departure),
		firstIncarnations: make(map[string]int64),
		tokens:            make(map[string]raisedToken),
		returns:           make(map[string]awaitedReturn),
		lostStarts:        make(map[string]time.Time),
		endedIncarnations: make(map[bbrwork.Incarnation]bool),
		recorded:          make(map[bbrwork.Incarnation]bool),
		toRecord:          make(map[bbrwork.Incarnation]bool),
		accounts:          make(map[string]*bbrquota.Account),
		suspects:          make(map[*unit]bool),
		lapses:            make(map[LapseCause]int),
		leaseCounts:       LeaseCounts{Expired: make(map[LeaseSource]int)},
		runTimes:          make(runTimes),
		reservationsEnded: make(map[bbrreservation.Cause]int),
	}
}

// leaseBound returns the longest time by this process's clock that a lease of the
// length can last.
func leaseBound(length time.Duration) time.Duration {
	return length + time.Duration(clockError*float64(length)) + clockMargin
}

// SetConfig applies a configuration. A job whose queue was removed keeps its last
// known policy.
func (sched *Scheduler) SetConfig(config *bbrwork.Config) {
	sched.config = config
	sched.applyCaps(config)
	sched.fair.setWeights(config)
	for _, job := range sched.jobs {
		if queue := config.Queues[job.Queue]; queue != nil {
			job.policy = queue.Policy()
		}
	}
}

// EarlierWorkLocated reports whether all work of earlier owners is either located
// or has certainly ended.
func (sched *Scheduler) EarlierWorkLocated(now time.Time) bool {
	if !now.After(sched.earlierLeasesEnd) {
		return len(sched.unlocated) == 0
	}
	for incarnation := range sched.unlocated {
		if sched.readsEnds(incarnation) {
			return false
		}
	}
	return true
}

// JobCount returns the number of known jobs whose end is not stored. It is partial while jobs
// are loaded.
func (sched *Scheduler) JobCount() int { return len(sched.jobs) }

// WaitingByQueue counts, by queue, the jobs of which nothing has certainly started. A job whose
// starts have no answer yet is counted. The counts are partial while jobs are loaded.
func (sched *Scheduler) WaitingByQueue(now time.Time) map[string]int {
	waiting := make(map[string]int)
	for _, job := range sched.jobs {
		if job.finalState == "" && !job.begun {
			waiting[job.Queue]++
		}
	}
	return waiting
}

// OpenQueues returns the queues of the jobs that have not ended. It is partial while jobs are
// loaded.
func (sched *Scheduler) OpenQueues() map[string]bool {
	queues := make(map[string]bool)
	for _, job := range sched.jobs {
		if job.finalState == "" {
			queues[job.Queue] = true
		}
	}
	return queues
}

// sortedUpstreams returns the upstreams sorted by ID, so that decisions are
// reproducible. The list must not be modified.
func (sched *Scheduler) sortedUpstreams() []*upstream {
	if sched.sorted == nil {
		sched.sorted = slices.SortedFunc(maps.Values(sched.upstreams), func(a, b *upstream) int { return cmp.Compare(a.ID, b.ID) })
	}
	return sched.sorted
}

// addUpstream adds an incarnation that is not known yet.
func (sched *Scheduler) addUpstream(up *upstream, incarnation bbrwork.Incarnation) {
	first, known := sched.firstIncarnations[incarnation.ID]
	if !known {
		sched.firstIncarnations[incarnation.ID] = incarnation.StartMillis
	}
	up.follows = known && first != incarnation.StartMillis
	up.earlierOrders = !sched.firstOwner || up.follows
	sched.upstreams[incarnation.ID] = up
	sched.sorted = nil
	delete(sched.returns, incarnation.ID)
	sched.assignRaisedToken(incarnation)
}

// removeUpstream removes an upstream. Another incarnation that it announced takes its
// place.
func (sched *Scheduler) removeUpstream(up *upstream, now time.Time) {
	delete(sched.upstreams, up.ID)
	sched.sorted = nil
	if up.announced != nil {
		sched.RegisterUpstream(*up.announced, now)
		return
	}
	sched.awaitReturn(up.Upstream, now)
}
