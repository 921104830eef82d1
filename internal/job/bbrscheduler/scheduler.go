package bbrscheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// Timing is the lengths that the ledger works with.
type Timing struct {
	// RunLease is how far ahead an upstream's lease is set. It is at most what
	// upstreams allow.
	RunLease time.Duration
	// StartTimeout bounds the time for which a start may be on its way.
	StartTimeout time.Duration
	// Handover is how long an earlier owner may still believe in its claim
	// after this one's began.
	Handover time.Duration
	// StopTimeout is how long stopping a run takes at most.
	StopTimeout time.Duration
	// RecoveryTime is how long a lasting work unit may need to be at work again.
	RecoveryTime time.Duration
	// RemoteDataFactor is how many times as long work takes far from its data.
	RemoteDataFactor float64
}

// clockError is how much slower an upstream's clock may run, with a margin for
// rounding to milliseconds.
const (
	clockError  = 0.021
	clockMargin = 30 * time.Millisecond
)

// Scheduler is the memory of a shard's owner. Its methods are called by one
// goroutine at a time.
type Scheduler struct {
	Shard bbrwork.Shard
	// Token is the fencing token of all orders.
	Token  int64
	Timing Timing

	config    *bbrwork.Config
	jobs      map[string]*job
	upstreams map[string]*upstream
	// sorted has the upstreams by ID; nil after one came or went.
	sorted []*upstream
	// endedWithRuns has the jobs that are stored as ended and still have runs.
	endedWithRuns map[string]*job
	// claimedAt is when the claim began. After settled, nothing that an earlier owner
	// started can be at work unknown.
	claimedAt, earlierLeasesEnd time.Time
	// firstOwner means that there was no earlier owner.
	firstOwner bool
	// unlocated has the lives on which an earlier owner may have started work
	// that is not known: those that it had listed and that were not reached yet.
	unlocated map[bbrwork.Incarnation]bool
	dirty     map[string]*job
	// advice has the tickets of steps, by their name.
	advice  map[string]*stepAdvice
	horizon horizon
	// arrivals are the newest jobs.
	arrivals arrivals
	// adviceInFlight counts the calls to the advice service that are on their way.
	adviceInFlight int
	// endedJobs has the jobs that were dropped after their end was stored: an
	// older list or event may still bring them, and callers ask for them.
	endedJobs map[string]endedJob
	// endedSweptAt is when the ended jobs were last gone through.
	endedSweptAt time.Time
	// endedIncarnations has the lives that certainly ended, while the store may list them.
	endedIncarnations map[bbrwork.Incarnation]bool
	// recorded has the lives on which this claim may start work, since the store
	// lists them for a successor; asked has those that should be listed.
	recorded, toRecord map[bbrwork.Incarnation]bool
	// reserved has the upstreams that planned work takes.
	reserved     map[string]bool
	notes        []Note
	notesDropped int
}

// New returns an empty ledger whose claim began now. Without an earlier owner,
// nothing can be running yet.
func New(shard bbrwork.Shard, token int64, timing Timing, firstOwner bool, now time.Time) *Scheduler {
	return &Scheduler{
		Shard:             shard,
		Token:             token,
		Timing:            timing,
		config:            bbrwork.NewConfig(0, nil, nil, bbrwork.Limits{}),
		jobs:              make(map[string]*job),
		upstreams:         make(map[string]*upstream),
		endedWithRuns:     make(map[string]*job),
		claimedAt:         now,
		earlierLeasesEnd:  now.Add(timing.Handover + leaseBound(timing.RunLease) + timing.StartTimeout),
		firstOwner:        firstOwner,
		unlocated:         make(map[bbrwork.Incarnation]bool),
		dirty:             make(map[string]*job),
		advice:            make(map[string]*stepAdvice),
		endedJobs:         make(map[string]endedJob),
		endedIncarnations: make(map[bbrwork.Incarnation]bool),
		recorded:          make(map[bbrwork.Incarnation]bool),
		toRecord:          make(map[bbrwork.Incarnation]bool),
	}
}

// leaseBound is the longest time by this process's clock that a lease of the
// length lasts.
func leaseBound(length time.Duration) time.Duration {
	return length + time.Duration(clockError*float64(length)) + clockMargin
}

// SetConfig puts a configuration in force. A job whose queue is gone keeps what
// was known of it.
func (sched *Scheduler) SetConfig(config *bbrwork.Config) {
	sched.config = config
	for _, job := range sched.jobs {
		if queue := config.Queues[job.Queue]; queue != nil {
			job.policy = queue.Policy()
		}
	}
}

// EarlierWorkLocated tells whether no work of an earlier owner can be unlocated.
func (sched *Scheduler) EarlierWorkLocated(now time.Time) bool {
	return len(sched.unlocated) == 0 || now.After(sched.earlierLeasesEnd)
}

// JobCount returns how many jobs are known that are not stored as ended.
func (sched *Scheduler) JobCount() int { return len(sched.jobs) }

// WaitingByQueue counts, by queue, the jobs for which nothing has started.
func (sched *Scheduler) WaitingByQueue(now time.Time) map[string]int {
	waiting := make(map[string]int)
	for _, job := range sched.jobs {
		if job.finalState == "" && !job.started {
			waiting[job.Queue]++
		}
	}
	return waiting
}

// sortedUpstreams returns the upstreams by ID, so that decisions can be
// repeated. The list is not to be changed.
func (sched *Scheduler) sortedUpstreams() []*upstream {
	if sched.sorted == nil {
		sched.sorted = slices.SortedFunc(maps.Values(sched.upstreams), func(a, b *upstream) int { return cmp.Compare(a.ID, b.ID) })
	}
	return sched.sorted
}

func (sched *Scheduler) addUpstream(up *upstream, id string) {
	sched.upstreams[id] = up
	sched.sorted = nil
}

func (sched *Scheduler) removeUpstream(id string) {
	delete(sched.upstreams, id)
	sched.sorted = nil
}
