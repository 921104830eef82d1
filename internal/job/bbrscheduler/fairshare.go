package bbrscheduler

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrfairshare"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

const (
	// beyondAfter is how long an organisation wants more than its share before it counts
	// as beyond it: less than a job needs, and more than the gaps between two jobs.
	beyondAfter = 500 * time.Millisecond
	// withinAfter is how long it wants no more than its share before it counts as within
	// it again.
	withinAfter = time.Second
)

// fairShares is the state of the organisations' shares of the shard. It is kept in memory
// only: an owner that takes over learns the use from the upstreams' listings.
type fairShares struct {
	// weighted means that an organisation of the configuration has a weight.
	weighted bool
	members  map[string]*shareMember
	// capacity is what the organisations shared in the last plan; zero if it sufficed.
	capacity bbrwork.Resources
	// waits is what is expected for new jobs, as of waitsAt.
	waits   []bbrfairshare.Wait
	waitsAt time.Time
	// order has the members by name; nil after one was added. input and output are reused
	// by the plans.
	order  []*shareMember
	input  []bbrfairshare.Organisation
	output []bbrfairshare.Share
}

// shareMember is an organisation that shares the shard's capacity.
type shareMember struct {
	name   string
	weight float64
	use    bbrfairshare.Use
	// waiting is what its work units without a run need, as of the last plan.
	waiting bbrwork.Resources
	share   bbrfairshare.Share
	// unsatisfiedSince is since when it has wanted more than its share, but for gaps of
	// less than withinAfter; zero if it does not. unsatisfiedAt is when it last did.
	unsatisfiedSince, unsatisfiedAt time.Time
	// beyond means that this has lasted for beyondAfter.
	beyond bool
}

// member returns the organisation with the name, or nil if the name is empty.
func (f *fairShares) member(name string) *shareMember {
	if name == "" {
		return nil
	}
	m := f.members[name]
	if m == nil {
		m = &shareMember{name: name}
		if f.members == nil {
			f.members = make(map[string]*shareMember)
		}
		f.members[name] = m
		f.order = nil
	}
	return m
}

// setWeights applies the weights of a configuration. An organisation that it does not
// have has no share of its own.
func (f *fairShares) setWeights(config *bbrwork.Config) {
	f.weighted = false
	for name, organisation := range config.Organisations {
		f.weighted = f.weighted || organisation.Weight > 0
		f.member(name)
	}
	for name, m := range f.members {
		m.weight = 0
		if organisation := config.Organisations[name]; organisation != nil {
			m.weight = organisation.Weight
		}
	}
}

// sharesWith returns the organisation with which the step's work is counted; nil for
// long-running work and work that belongs to no organisation.
func (sched *Scheduler) sharesWith(s *step) *shareMember {
	if !sched.FairShares || s.spec.LongRunning {
		return nil
	}
	return sched.fair.member(s.job.Organisation)
}

// countShare records that a run of the step begins or, if end is true, has ended.
func (sched *Scheduler) countShare(s *step, end bool, now time.Time) {
	m := sched.sharesWith(s)
	switch {
	case m == nil:
	case end:
		m.use.Remove(s.spec.Allocation(), now)
	default:
		m.use.Add(s.spec.Allocation(), now)
	}
}

// sorted returns the members by name, so that decisions are reproducible.
func (f *fairShares) sorted() []*shareMember {
	if f.order == nil {
		f.order = slices.SortedFunc(maps.Values(f.members), func(a, b *shareMember) int { return cmp.Compare(a.name, b.name) })
	}
	return f.order
}

// beginShares forgets what waited in the last plan.
func (p *planner) beginShares() {
	p.sharing = p.sched.FairShares && p.sched.fair.weighted
	p.sched.fair.capacity = bbrwork.Resources{}
	if !p.sharing {
		return
	}
	for _, m := range p.sched.fair.sorted() {
		m.use.BeginPlan()
		m.waiting, m.share = bbrwork.Resources{}, bbrfairshare.Share{Limit: math.Inf(1)}
	}
}

// awaitShare records that work units of the step could start.
func (p *planner) awaitShare(s *step) {
	if m := p.memberOf(s); m != nil {
		need := s.spec.Allocation().Times(s.idleUnits)
		m.waiting = m.waiting.Plus(need)
		p.waiting = p.waiting.Plus(need)
	}
}

// memberOf returns the organisation in whose share the step's work has to fit; nil if it
// is not subject to shares.
func (p *planner) memberOf(s *step) *shareMember {
	if !p.sharing {
		return nil
	}
	return p.sched.sharesWith(s)
}

// divideShares divides the capacity that the organisations have or can get, unless what
// is free suffices for all that waits.
func (p *planner) divideShares() {
	if !p.sharing {
		return
	}
	if !p.waiting.Fits(p.free) {
		p.sched.fair.divide(p.free, p.now)
	}
	for _, m := range p.sched.fair.sorted() {
		p.sched.noteBeyond(m, p.now)
	}
}

func (f *fairShares) divide(free bbrwork.Resources, now time.Time) {
	capacity := free
	f.input, f.output = f.input[:0], f.output[:0]
	for _, m := range f.sorted() {
		capacity = capacity.Plus(m.use.Running)
		counted := m.use.Counted(now)
		f.input = append(f.input, bbrfairshare.Organisation{Weight: m.weight, Use: counted, Demand: counted.Plus(m.waiting)})
	}
	f.capacity = capacity
	f.output = bbrfairshare.Divide(capacity, f.input, f.output)
	for i, m := range f.sorted() {
		m.share = f.output[i]
	}
}

// noteBeyond logs when an organisation goes beyond its share, and when it returns.
func (sched *Scheduler) noteBeyond(m *shareMember, now time.Time) {
	if m.share.Unsatisfied() {
		m.unsatisfiedAt = now
		if m.unsatisfiedSince.IsZero() {
			m.unsatisfiedSince = now
		}
		if !m.beyond && now.Sub(m.unsatisfiedSince) >= beyondAfter {
			m.beyond = true
			sched.note(now, "Organisation beyond its share", "organisation", m.name, "weight", m.weight,
				"used", round(m.share.Used), "fair", round(m.share.Fair), "wanted", round(m.share.Wanted), "waitingMilliCPU", m.waiting.MilliCPU)
		}
		return
	}
	if m.unsatisfiedSince.IsZero() || now.Sub(m.unsatisfiedAt) < withinAfter {
		return
	}
	if m.beyond {
		sched.note(now, "Organisation within its share again", "organisation", m.name, "after", m.unsatisfiedAt.Sub(m.unsatisfiedSince).Round(time.Millisecond))
	}
	m.unsatisfiedSince, m.beyond = time.Time{}, false
}

// round rounds a share for logs.
func round(share float64) float64 { return math.Round(share*1000) / 1000 }

// shareRank orders work of one tier by what its organisation uses of its share.
type shareRank int

const (
	// rankWithin is also the rank of work that is not subject to shares, and of all work
	// while the capacity suffices.
	rankWithin shareRank = iota
	rankBeyond
)

// rankInShare returns the rank of the candidate's work by what its organisation uses now.
// Work of a job that began within the share stays within it: to finish such a job serves
// more callers than to begin another.
func (p *planner) rankInShare(c candidate) shareRank {
	if c.member == nil || c.step.job.begunInShare || p.sched.fair.capacity == (bbrwork.Resources{}) {
		return rankWithin
	}
	if c.member.share.Beyond(bbrfairshare.Dominant(c.member.use.Counted(p.now), p.sched.fair.capacity)) {
		return rankBeyond
	}
	return rankWithin
}

// OrganisationShare is an organisation's share of the shard, as parts of the capacity
// that the organisations share.
type OrganisationShare struct {
	Organisation string  `json:"organisation"`
	Used         float64 `json:"used"`
	Fair         float64 `json:"fair"`
	Wanted       float64 `json:"wanted"`
	// Beyond means that the organisation has wanted more than its share for some time.
	Beyond bool `json:"-"`
}

// Shares returns the shares of the organisations with work as of the last plan, at most
// limit of them, those that want most first; nil while the capacity suffices.
func (sched *Scheduler) Shares(limit int) []OrganisationShare {
	if (sched.fair.capacity == bbrwork.Resources{}) {
		return nil
	}
	var shares []OrganisationShare
	for _, m := range sched.fair.sorted() {
		if m.share.Wanted > 0 {
			shares = append(shares, OrganisationShare{Organisation: m.name, Used: round(m.share.Used), Fair: round(m.share.Fair), Wanted: round(m.share.Wanted), Beyond: m.beyond})
		}
	}
	slices.SortStableFunc(shares, func(a, b OrganisationShare) int { return cmp.Compare(b.Wanted, a.Wanted) })
	return shares[:min(len(shares), limit)]
}
