package bbrscheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// newSharedScene returns a scene in which organisations share the capacity by weight: a
// has one, b has three, and c has none.
func newSharedScene(t *testing.T, fresh, shares bool, upstreams ...string) *scene {
	s := newScene(t, fresh)
	s.sched.FairShares = shares
	config, err := s.sched.config.WithOrganisations([]*bbrwork.Organisation{{Name: "a", Weight: 1}, {Name: "b", Weight: 3}, {Name: "c"}})
	require.NoError(t, err)
	s.sched.SetConfig(config)
	for _, id := range upstreams {
		s.register(id)
		s.list(id)
	}
	return s
}

// startsOf counts the starts of each organisation.
func (s *scene) startsOf(plan Plan) map[string]int {
	counts := make(map[string]int)
	for _, start := range plan.Starts {
		counts[s.sched.jobs[start.Start.Unit.Job].Organisation]++
	}
	return counts
}

// TestBacklogOfOneOrganisationYields guards against an organisation whose many earlier
// jobs take all of the capacity: the other one gets as much as its weight allows and as it
// wants, the first one gets the rest, and nothing stays idle.
func TestBacklogOfOneOrganisationYields(t *testing.T) {
	tests := []struct {
		name            string
		shares          bool
		other           string
		units           int
		otherFirst      bool
		first, expected int
	}{
		{name: "without shares the earlier jobs come first", other: "b", units: 4, first: 8},
		{name: "with shares the other has all that it wants", shares: true, other: "b", units: 4, first: 4, expected: 4},
		{name: "without shares one without a weight is served by its objective", other: "c", units: 4, otherFirst: true, first: 4, expected: 4},
		{name: "one without a weight is served last", shares: true, other: "c", units: 4, otherFirst: true, first: 8},
		{name: "work without an organisation is not subject to shares", shares: true, units: 4, first: 8},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newSharedScene(t, true, test.shares, "i-1", "i-2")
			acceptOther := func() { s.acceptOf("00000000000000b1", test.other, 0, test.units) }
			if test.otherFirst {
				acceptOther()
			}
			s.advance(100 * time.Millisecond)
			for i := range 12 {
				s.acceptOf(fmt.Sprintf("%016x", 0x100+i), "a", 0, 1)
			}
			s.advance(100 * time.Millisecond)
			if !test.otherFirst {
				acceptOther()
			}
			starts := s.startsOf(s.plan())
			require.Equal(t, test.first, starts["a"])
			require.Equal(t, test.expected, starts[test.other])
		})
	}
}

// TestLateWorkDoesNotDisplaceWorkInTime guards against work within its share that can no
// longer be in time and still comes before work beyond its share that can.
func TestLateWorkDoesNotDisplaceWorkInTime(t *testing.T) {
	s := newSharedScene(t, true, true, "i-1")
	s.acceptOf("00000000000000b1", "b", 0, 4)
	s.advance(10 * time.Second)
	for i := range 8 {
		s.acceptOf(fmt.Sprintf("%016x", 0x100+i), "a", 0, 1)
	}
	require.Equal(t, map[string]int{"a": 4}, s.startsOf(s.plan()))
}

// TestSharesAreIgnoredWithoutWeights guards against different decisions where no
// organisation has a weight.
func TestSharesAreIgnoredWithoutWeights(t *testing.T) {
	var plans []Plan
	for _, shares := range []bool{false, true} {
		s := newScene(t, true, "i-1", "i-2")
		s.sched.FairShares = shares
		for i := range 12 {
			s.acceptOf(fmt.Sprintf("%016x", 0x100+i), []string{"a", "b", ""}[i%3], 0, 1+i%2)
			s.advance(time.Millisecond)
		}
		plans = append(plans, s.plan())
		require.Empty(t, s.sched.ExpectedWaits(s.now))
		require.Empty(t, s.sched.Shares(10))
	}
	require.Equal(t, plans[0], plans[1])
}

// TestTakeoverRebuildsUse guards against a successor that treats an organisation whose work
// fills the shard like one that uses nothing.
func TestTakeoverRebuildsUse(t *testing.T) {
	s := newSharedScene(t, true, true, "i-1")
	var running []bbrwork.Run
	s.acceptOf("00000000000000a1", "a", 0, 8)
	for i := range 4 {
		running = append(running, bbrwork.Run{Unit: bbrwork.Unit{Job: "00000000000000a1", Index: i}, Number: 1})
	}
	s.listRunning("i-1", running)
	require.Equal(t, 4000, s.sched.fair.members["a"].use.Running.MilliCPU)
	s.register("i-2")
	s.list("i-2")
	s.acceptOf("00000000000000b1", "b", 0, 8)
	s.advance(1300 * time.Millisecond)
	require.Equal(t, map[string]int{"b": 4}, s.startsOf(s.plan()))
}

// TestExpectedWaits checks that a wait is expected only for organisations that want more
// than their share, from their own backlog, and only while the capacity is short.
func TestExpectedWaits(t *testing.T) {
	s := newSharedScene(t, true, true, "i-1", "i-2")
	for i := range 40 {
		s.acceptOf(fmt.Sprintf("%016x", 0x100+i), "a", 0, 1)
	}
	s.acceptOf("00000000000000b1", "b", 0, 2)
	s.acceptOf("00000000000000c1", "c", 0, 2)
	s.answerStarts(s.plan(), nil)
	waits := s.sched.ExpectedWaits(s.now)
	require.Len(t, waits, 1)
	require.Equal(t, "a", waits[0].Organisation)
	require.Equal(t, "proofs", waits[0].Queue)
	require.Equal(t, time.Second, waits[0].Path)
	require.False(t, waits[0].Beyond, "it is beyond its share only after some time")
	require.InDelta(t, 6.5, waits[0].Expected.Seconds(), 1, "40 seconds of work on 6 of 8 cores")

	s.advance(beyondAfter)
	s.plan()
	require.True(t, s.sched.ExpectedWaits(s.now)[0].Beyond)
	require.True(t, s.sched.Shares(1)[0].Beyond)
	for i := range 8 {
		s.register(fmt.Sprintf("i-1%d", i))
		s.list(fmt.Sprintf("i-1%d", i))
	}
	s.store()
	s.plan()
	s.advance(waitsTTL)
	s.plan()
	require.Empty(t, s.sched.ExpectedWaits(s.now), "the capacity suffices")
	s.advance(withinAfter)
	s.plan()
	require.False(t, s.sched.fair.members["a"].beyond)
}

// noted returns how many of the scheduler's notes have the text.
func (s *scene) noted(text string) int {
	count := 0
	notes, _ := s.sched.Notes()
	for _, note := range notes {
		if note.Text == text {
			count++
		}
	}
	return count
}

// TestGoingBeyondAShareIsLoggedOnce guards against a log line for each plan, and against
// none.
func TestGoingBeyondAShareIsLoggedOnce(t *testing.T) {
	s := newSharedScene(t, true, true, "i-1")
	for i := range 40 {
		s.acceptOf(fmt.Sprintf("%016x", 0x100+i), "a", 0, 1)
	}
	s.answerStarts(s.plan(), nil)
	for range 30 {
		s.advance(50 * time.Millisecond)
		s.plan()
	}
	require.Equal(t, 1, s.noted("Organisation beyond its share"))
	for i := range 40 {
		s.sched.Cancel(fmt.Sprintf("%016x", 0x100+i), s.now)
	}
	for range 30 {
		s.advance(50 * time.Millisecond)
		s.plan()
	}
	require.Equal(t, 1, s.noted("Organisation within its share again"))
}

// contendedShard is a shard in which organisations always have more work than fits.
type contendedShard struct {
	*scene
	// units is the number of work units of each job, of one core and one second.
	units     int
	jobs      int
	upstreams []string
	ended     map[string]int64
	started   map[runKey]time.Time
	// used is the sum of what each organisation used in each round, in cores.
	used   map[string]float64
	rounds float64
}

const contendedTick = 50 * time.Millisecond

func newContendedShard(t *testing.T, shares bool, units int) *contendedShard {
	c := &contendedShard{units: units, upstreams: []string{"i-1", "i-2", "i-3", "i-4"}, ended: make(map[string]int64), started: make(map[runKey]time.Time), used: make(map[string]float64)}
	c.scene = newSharedScene(t, true, shares, c.upstreams...)
	return c
}

// round plays one round in which the organisations send jobs.
func (c *contendedShard) round(demand map[string]int) {
	c.advance(contendedTick)
	for _, organisation := range []string{"a", "b"} {
		for range demand[organisation] {
			c.jobs++
			c.acceptOf(fmt.Sprintf("%016x", c.jobs), organisation, 0, c.units)
		}
	}
	for _, id := range c.upstreams {
		var running []bbrwork.Run
		var ends []bbrwork.RunEnd
		for key := range c.sched.upstreams[id].runs {
			if c.now.Sub(c.started[key]) < time.Second {
				running = append(running, bbrwork.Run{Unit: key.unit, Number: key.number})
				continue
			}
			c.ended[id]++
			ends = append(ends, bbrwork.RunEnd{Sequence: c.ended[id], Unit: key.unit, Run: key.number, Outcome: bbrwork.OutcomeDone})
		}
		c.listRunning(id, running, ends...)
	}
	c.store()
	plan := c.plan()
	for _, start := range plan.Starts {
		c.started[runKey{start.Start.Unit, start.Start.Run}] = c.now
	}
	c.answerStarts(plan, nil)
	c.rounds++
	for name, m := range c.sched.fair.members {
		c.used[name] += float64(m.use.Running.MilliCPU) / 1000
	}
}

// TestWeightedShareOfEachShard checks the error that a share may have: while the capacity is
// short, an organisation gets on the average at most its weighted share of each shard, plus
// the work unit that crosses the boundary, though the work units of a job that began within
// the share are not held back. As no owner asks another, this is the same with half of the
// owners unresponsive. Without shares, the organisation that sends most gets most.
func TestWeightedShareOfEachShard(t *testing.T) {
	const shards, rounds, cores = 4, 300, 16
	for _, unresponsive := range []int{0, shards / 2} {
		for _, units := range []int{1, 3} {
			t.Run(fmt.Sprintf("%d unresponsive, %d units", unresponsive, units), func(t *testing.T) {
				for range shards - unresponsive {
					shard := newContendedShard(t, true, units)
					for range rounds {
						shard.round(map[string]int{"a": 3, "b": 1})
					}
					require.LessOrEqual(t, shard.used["a"]/shard.rounds, 0.25*cores+1)
					require.GreaterOrEqual(t, shard.used["b"]/shard.rounds, 0.75*cores-1)
				}
			})
		}
	}
}
