package bbrscheduler

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrfairshare"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

const (
	fairTick   = 20 * time.Millisecond
	fairLength = 14 * time.Second
	// burstBegin and burstEnd delimit the burst of the first fairBursting organisations.
	burstBegin, burstEnd = 3 * time.Second, 9 * time.Second
	fairOrganisations    = 20
	fairBursting         = 3
	fairBurstFactor      = 5
	fairUpstreams        = 24
	// fairEntries is the number of entries that accept the jobs, each with its own
	// knowledge of the shard.
	fairEntries = 4
	fairUnits   = 13
	// largeRate and smallRate are the usual jobs per second of the bursting organisations
	// and of the others, and fairWeight is an organisation's weight per usual job.
	largeRate, smallRate, fairWeight = 0.7, 0.17, 1.5
)

// fairLoad is a shard with 20 organisations, three of which send five times their usual
// load for some seconds.
type fairLoad struct {
	*scene
	random    *rand.Rand
	names     []string
	upstreams []string
	arrivals  map[string]float64
	jobs      map[string]*fairJob
	ends      map[int][]StartOrder
	sequences map[string]int64
	waits     [fairEntries][]bbrfairshare.Wait
	waitsAt   [fairEntries]time.Time
	refuses   bool
	refused   int
	// used is the mean use of the bursting organisations while all three burst, in
	// millicores.
	used, samples float64
}

// fairJob is a job of the load and what became of it.
type fairJob struct {
	organisation int
	accepted     time.Time
	runTime      time.Duration
	// owed means that the job is among the first ones that its organisation is entitled
	// to send.
	owed, refused bool
	took          time.Duration
}

func (j *fairJob) objective() time.Duration {
	return time.Duration(1.6*float64(j.runTime)) + 600*time.Millisecond
}

func newFairLoad(t *testing.T, seed uint64, shares, refuses bool) *fairLoad {
	l := &fairLoad{
		scene: newScene(t, true), random: rand.New(rand.NewPCG(seed, 0)), refuses: refuses,
		arrivals: make(map[string]float64), jobs: make(map[string]*fairJob), ends: make(map[int][]StartOrder), sequences: make(map[string]int64),
	}
	l.sched.FairShares = shares
	var organisations []*bbrwork.Organisation
	for i := range fairOrganisations {
		l.names = append(l.names, fmt.Sprintf("o-%02d", i))
		organisations = append(organisations, &bbrwork.Organisation{Name: l.names[i], Weight: fairWeight * l.rate(i, 0)})
	}
	config, err := l.sched.config.WithOrganisations(organisations)
	require.NoError(t, err)
	l.sched.SetConfig(config)
	for i := range fairUpstreams {
		id := fmt.Sprintf("i-%02d", i)
		l.upstreams = append(l.upstreams, id)
		up := l.upstream(id)
		up.Capacity = bbrwork.Resources{MilliCPU: 32_000, MemoryMB: 128_000}
		l.sched.RegisterUpstream(up, l.now)
		l.list(id)
	}
	l.now = l.start
	return l
}

func (l *fairLoad) rate(organisation int, at time.Duration) float64 {
	switch {
	case organisation >= fairBursting:
		return smallRate
	case at >= burstBegin && at < burstEnd:
		return largeRate * fairBurstFactor
	default:
		return largeRate
	}
}

func (l *fairLoad) play() {
	credit := make([]float64, fairOrganisations)
	for tick := range int(fairLength / fairTick) {
		at := time.Duration(tick) * fairTick
		l.now = l.start.Add(at)
		for i := range l.names {
			credit[i] = min(1+fairWeight*l.rate(i, 0), credit[i]+fairWeight*l.rate(i, 0)*fairTick.Seconds())
			if l.random.Float64() < l.rate(i, at)*fairTick.Seconds() {
				owed := credit[i] >= 1
				if owed {
					credit[i]--
				}
				l.submit(i, owed)
			}
		}
		l.endRuns(tick)
		l.startRuns(tick)
		if at >= burstBegin+2*time.Second && at < burstEnd {
			l.sample()
		}
	}
}

func (l *fairLoad) submit(organisation int, owed bool) {
	id := fmt.Sprintf("%016x", len(l.jobs)+1)
	job := &fairJob{organisation: organisation, accepted: l.now, owed: owed, took: math.MaxInt64}
	job.runTime = time.Duration((1 + l.random.Float64()) * float64(time.Second)).Round(fairTick)
	l.jobs[id] = job
	estimate := time.Duration(float64(job.runTime) * math.Exp(estimateSpread*l.random.NormFloat64()))
	entry := l.random.IntN(fairEntries)
	need := bbrwork.Resources{MilliCPU: 3000 + l.random.IntN(5)*1000, MemoryMB: 8000}
	if l.refuses && l.now.Sub(l.waitsAt[entry]) <= time.Second {
		at := slices.IndexFunc(l.waits[entry], func(w bbrfairshare.Wait) bool { return w.Organisation == l.names[organisation] })
		if at >= 0 {
			if _, job.refused = l.waits[entry][at].Refuse(estimate, 1.6, 600*time.Millisecond); job.refused {
				l.refused++
				return
			}
		}
	}
	l.sched.AddJob(&bbrwork.Job{ID: id, Queue: "proofs", Service: "press", Spec: "x", Organisation: l.names[organisation], Accepted: l.now,
		Steps: []bbrwork.Step{{Count: fairUnits, Need: need, Estimate: estimate}}}, 0, nil, l.now)
	l.waits[entry], l.waitsAt[entry] = l.sched.ExpectedWaits(l.now), l.now
}

func (l *fairLoad) startRuns(tick int) {
	plan := l.sched.Plan(true, l.now)
	l.sched.ApplyStored(l.sched.Batch(1000, l.now), 1, l.now)
	l.answerStarts(plan, nil)
	for _, start := range plan.Starts {
		at := tick + int(l.jobs[start.Start.Unit.Job].runTime/fairTick)
		l.ends[at] = append(l.ends[at], start)
	}
}

func (l *fairLoad) endRuns(tick int) {
	ended, gone := make(map[string][]bbrwork.RunEnd), make(map[runKey]bool)
	for _, start := range l.ends[tick] {
		id := start.Upstream.ID
		l.sequences[id]++
		gone[runKey{start.Start.Unit, start.Start.Run}] = true
		ended[id] = append(ended[id], bbrwork.RunEnd{Sequence: l.sequences[id], Unit: start.Start.Unit, Run: start.Start.Run, Outcome: bbrwork.OutcomeDone})
	}
	for _, id := range l.upstreams {
		_, renewed := l.sched.PlanRenewal(id, true, l.now)
		require.True(l, renewed)
		listing := bbrwork.Listing{Clock: l.now.Sub(l.start), StartMillis: 1000, Ended: ended[id]}
		for key := range l.sched.upstreams[id].runs {
			if !gone[key] {
				listing.Running = append(listing.Running, bbrwork.Run{Unit: key.unit, Number: key.number})
			}
		}
		l.sched.ApplyListing(l.upstream(id).Incarnation, &listing, l.now, l.now)
	}
	for id, job := range l.sched.jobs {
		if played := l.jobs[id]; job.finalState == bbrwork.Completed && played.took == math.MaxInt64 {
			played.took = l.now.Sub(played.accepted)
		}
	}
}

// sample adds what the bursting organisations use now.
func (l *fairLoad) sample() {
	l.samples++
	for _, up := range l.sched.upstreams {
		for _, r := range up.runs {
			if l.jobs[r.unit.step.job.ID].organisation < fairBursting {
				l.used += float64(r.allocation.MilliCPU)
			}
		}
	}
}

// outcome counts the callers of a part of the organisations.
type outcome struct{ sent, inTime, late, useless, refused int }

func (o *outcome) add(l *fairLoad, counts func(j *fairJob) bool) {
	for _, job := range l.jobs {
		at := job.accepted.Sub(l.start)
		if at < burstBegin || at > burstEnd+2*time.Second || !counts(job) {
			continue
		}
		o.sent++
		switch {
		case job.refused:
			o.refused++
		case job.took <= job.objective():
			o.inTime++
		case job.took <= 3*job.objective():
			o.late++
		default:
			o.useless++
		}
	}
}

func (o *outcome) part() float64 { return float64(o.inTime) / float64(o.sent) }

// fairOutcome is what the callers got over several seeds.
type fairOutcome struct {
	others, owed, all outcome
	used              float64
}

func playFair(t *testing.T, shares, refuses bool) fairOutcome {
	const seeds = 6
	var result fairOutcome
	for seed := range uint64(seeds) {
		l := newFairLoad(t, seed, shares, refuses)
		l.play()
		result.others.add(l, func(j *fairJob) bool { return j.organisation >= fairBursting })
		result.owed.add(l, func(j *fairJob) bool { return j.organisation < fairBursting && j.owed })
		result.all.add(l, func(*fairJob) bool { return true })
		result.used += l.used / l.samples / seeds
	}
	t.Logf("shares=%v refuses=%v: others %+v %.3f; owed %+v %.3f; all %+v; bursting use %.0f of %d", shares, refuses,
		result.others, result.others.part(), result.owed, result.owed.part(), result.all, result.used, fairUpstreams*32_000)
	return result
}

// TestBurstYieldsToOtherOrganisations plays a shard on which three organisations send five
// times their usual load, and guards against a burst that the callers of the 17 others pay
// for: shares must serve clearly more of these in time, at little cost for the callers in
// sum. Refusals must leave fewer jobs that complete when they are of no value.
func TestBurstYieldsToOtherOrganisations(t *testing.T) {
	without, shares, refusing := playFair(t, false, false), playFair(t, true, false), playFair(t, true, true)
	require.Greater(t, shares.others.part(), without.others.part()+0.1)
	require.Greater(t, refusing.others.part(), without.others.part()+0.1)
	require.Greater(t, shares.owed.part(), without.owed.part()-0.08)
	require.Greater(t, float64(shares.all.inTime), 0.95*float64(without.all.inTime))
	require.Less(t, float64(refusing.all.useless), 0.8*float64(without.all.useless))
}
