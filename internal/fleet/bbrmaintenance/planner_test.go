package bbrmaintenance

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrmachine"
)

const (
	testAway      = 2 * time.Second
	testStep      = 100 * time.Millisecond
	recipientPool = "recipient"
	donorPool     = "donor"
	offPool       = "off"
)

// testFleet simulates the platform's instances.
type testFleet struct {
	now       time.Time
	instances map[string]*testInstance
	ids       []string
	// sparePool is the pool whose instances are switched off; empty if the fleet has none.
	sparePool string
}

type testInstance struct {
	bbrmachine.Instance
	returnsAt time.Time
	// incarnations counts the restarts, and maintainedBy is the wave of the last
	// maintenance.
	incarnations int
	maintainedBy int64
}

func newTestFleet(sizes map[string]int) *testFleet {
	f := &testFleet{now: time.Unix(1000, 0), instances: make(map[string]*testInstance)}
	if sizes[offPool] > 0 {
		f.sparePool = offPool
	}
	for _, pool := range []string{donorPool, offPool, recipientPool} {
		for range sizes[pool] {
			id := fmt.Sprintf("i%02d", len(f.ids))
			f.ids = append(f.ids, id)
			instance := &testInstance{Instance: bbrmachine.Instance{ID: id, Pool: pool, Status: bbrmachine.StatusUp, Upstream: id + "-0"}}
			instance.Capacity.MilliCPU = defaultMilliCPU
			f.instances[id] = instance
		}
	}
	return f
}

// list returns the instances, and restarts those whose move or maintenance is over.
func (f *testFleet) list() []bbrmachine.Instance {
	list := make([]bbrmachine.Instance, 0, len(f.ids))
	for _, id := range f.ids {
		instance := f.instances[id]
		if instance.Status != bbrmachine.StatusUp && !f.now.Before(instance.returnsAt) {
			instance.Status = bbrmachine.StatusUp
			instance.incarnations++
			instance.Upstream = fmt.Sprintf("%s-%d", id, instance.incarnations)
		}
		list = append(list, instance.Instance)
	}
	return list
}

// execute carries out an order.
func (f *testFleet) execute(order Order) Outcome {
	instance := f.instances[order.Instance]
	if instance.Status != bbrmachine.StatusUp {
		return OutcomeBusy
	}
	instance.Status = bbrmachine.StatusMoving
	if order.Wave != 0 {
		instance.Status, instance.maintainedBy = bbrmachine.StatusMaintained, order.Wave
	} else {
		instance.Pool = order.Pool
	}
	instance.returnsAt, instance.Upstream = f.now.Add(testAway), ""
	return OutcomeDone
}

// away returns the number of instances under maintenance.
func (f *testFleet) away() int {
	count := 0
	for _, instance := range f.instances {
		if instance.Status == bbrmachine.StatusMaintained {
			count++
		}
	}
	return count
}

// step runs one round of the planner and passes its orders to execute.
func (f *testFleet) step(p *Planner, requests []CapacityRequest, isDrained func(bbrmachine.Instance) bool, execute func(order Order) Outcome) {
	f.now = f.now.Add(testStep)
	p.UpdateInstances(f.list(), f.now)
	p.Balance(requests, f.sparePool, func(string) bool { return true }, f.now)
	for _, order := range p.NextOrders(isDrained, f.now) {
		p.RecordOutcome(order, execute(order), f.now)
	}
}

func alwaysDrained(bbrmachine.Instance) bool { return true }

// TestSuccessorCompletesWaveMaintainedEarlier guards against a successor that waits for
// incarnations that never start. The wave's instances had their maintenance under an
// earlier leader that could not store it, so the platform answers that it is done and
// restarts nothing. The wave must be completed within twice the time of a maintenance.
func TestSuccessorCompletesWaveMaintainedEarlier(t *testing.T) {
	f := newTestFleet(map[string]int{donorPool: 4})
	p := NewPlanner(testAway)
	p.AddWave(bbrmachine.Wave{Number: 1, Instances: f.ids, TimeLimit: 20 * time.Second, MaxAway: 4}, nil, f.now.Add(-18*time.Second))
	alreadyDone := func(Order) Outcome { return OutcomeDone }
	for end := f.now.Add(2 * testAway); f.now.Before(end); {
		f.step(p, nil, alwaysDrained, alreadyDone)
	}
	require.True(t, p.Progress()[0].Completed)
}

// TestInstanceMaintainedEarlierIsNotReserved guards against an upstream in use that stays
// reserved because its maintenance, done under an earlier leader, was ordered again.
func TestInstanceMaintainedEarlierIsNotReserved(t *testing.T) {
	f := newTestFleet(map[string]int{donorPool: 4})
	p := NewPlanner(testAway)
	p.AddWave(bbrmachine.Wave{Number: 1, Instances: f.ids, TimeLimit: 20 * time.Second, MaxAway: 4}, nil, f.now.Add(-18*time.Second))
	alreadyDone := func(Order) Outcome { return OutcomeDone }
	for end := f.now.Add(2 * testAway); f.now.Before(end); {
		f.step(p, nil, alwaysDrained, alreadyDone)
	}
	require.True(t, progressOf(p).Completed)
	require.Empty(t, p.Reserved(f.now))
}

// requestFor returns a request that gives the pool a target size of the number of
// instances.
func requestFor(pool string, instances int) CapacityRequest {
	return CapacityRequest{Partition: Partition{Pool: pool}, MilliCPU: int(targetUtilization*defaultMilliCPU*float64(instances)) - defaultMilliCPU/2}
}

func progressOf(p *Planner) WaveProgress { return p.Progress()[0] }

// TestMovesDoNotDelayWaveCompletion checks that a wave is completed although an instance
// that has had its maintenance is being moved.
func TestMovesDoNotDelayWaveCompletion(t *testing.T) {
	f := newTestFleet(map[string]int{offPool: 4, donorPool: 4})
	p := NewPlanner(testAway)
	requests := []CapacityRequest{requestFor(donorPool, 4)}
	p.AddWave(bbrmachine.Wave{Number: 1, Instances: []string{"i04"}, TimeLimit: time.Minute, MaxAway: 1}, nil, f.now)
	for range 40 {
		f.step(p, requests, alwaysDrained, f.execute)
	}
	require.Equal(t, int64(1), f.instances["i04"].maintainedBy)

	p.waves[1].completed = false
	p.tasks["i04"] = &task{instance: "i04", wave: 1, since: f.now}
	require.False(t, progressOf(p).Completed, "must wait for its own task")
	p.tasks["i04"] = &task{instance: "i04", pool: offPool, since: f.now}
	require.True(t, progressOf(p).Completed)
}

// TestWaveIsDeferredDuringShortage simulates a burst of demand that exceeds the fleet
// while a wave is open. It checks that the wave starts after the burst, or early enough to
// be completed in time.
func TestWaveIsDeferredDuringShortage(t *testing.T) {
	for _, burst := range []time.Duration{8 * time.Second, time.Minute} {
		f := newTestFleet(map[string]int{recipientPool: 20})
		p := NewPlanner(testAway)
		wave := bbrmachine.Wave{Number: 1, Instances: f.ids, TimeLimit: 30 * time.Second, MaxAway: 5}
		p.AddWave(wave, nil, f.now)
		start := f.now
		for f.now.Sub(start) < wave.TimeLimit {
			request := requestFor(recipientPool, 10)
			if f.now.Sub(start) < burst {
				request = requestFor(recipientPool, 40)
			}
			f.step(p, []CapacityRequest{request}, alwaysDrained, f.execute)
			require.False(t, f.now.Sub(start) < 2*time.Second && f.away() > 0, "maintenance started at once during a burst of demand")
		}
		require.True(t, progressOf(p).Completed, "burst of %v", burst)
	}
}

// TestWavesKeepMaxAway simulates waves, moves and lost answers. It checks that never more
// instances of a wave are away for it than it allows, and that all instances of a
// completed wave have had their maintenance.
func TestWavesKeepMaxAway(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newTestFleet(map[string]int{recipientPool: rapid.IntRange(1, 8).Draw(t, "recipient"), donorPool: rapid.IntRange(1, 8).Draw(t, "donor"), offPool: rapid.IntRange(0, 4).Draw(t, "off")})
		p := NewPlanner(testAway)
		wave := bbrmachine.Wave{Number: 1, Instances: f.ids, TimeLimit: 30 * time.Second, MaxAway: rapid.IntRange(1, 4).Draw(t, "max away")}
		p.AddWave(wave, nil, f.now)
		execute := func(order Order) Outcome {
			switch rapid.IntRange(0, 5).Draw(t, "outcome") {
			case 0:
				return OutcomeUnknown
			case 1:
				_ = f.execute(order)
				return OutcomeUnknown
			default:
				return f.execute(order)
			}
		}
		isDrained := func(bbrmachine.Instance) bool { return rapid.Bool().Draw(t, "drained") }
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			requests := []CapacityRequest{requestFor(recipientPool, rapid.IntRange(1, 20).Draw(t, "target")), requestFor(donorPool, 2)}
			requests[1].Releasable = f.upstreamsOf(donorPool)
			f.step(p, requests, isDrained, execute)
			require.LessOrEqual(t, f.away(), wave.MaxAway)
			if progressOf(p).Completed {
				for _, id := range f.ids {
					require.Equal(t, int64(1), f.instances[id].maintainedBy, id)
				}
			}
		}
	})
}

// upstreamsOf returns the upstream IDs of a pool's instances, in order.
func (f *testFleet) upstreamsOf(pool string) []string {
	var upstreams []string
	for _, id := range f.ids {
		if f.instances[id].Pool == pool && f.instances[id].Upstream != "" {
			upstreams = append(upstreams, f.instances[id].Upstream)
		}
	}
	return upstreams
}

func newTestWave(ids []string, limit int) bbrmachine.Wave {
	return bbrmachine.Wave{Number: 1, Instances: ids, TimeLimit: 4 * time.Second, MaxAway: limit}
}

// TestInstanceNeverDrainedIsNotChosenAgain checks that a pool reaches its target size
// although the first instance that another pool offers is never drained, as when work on
// it hangs or it does not answer.
func TestInstanceNeverDrainedIsNotChosenAgain(t *testing.T) {
	f := newTestFleet(map[string]int{donorPool: 16, recipientPool: 4})
	p := NewPlanner(testAway)
	isDrained := func(instance bbrmachine.Instance) bool { return instance.ID != f.ids[0] }
	for end := f.now.Add(30 * time.Second); f.now.Before(end); {
		p.abandonStalledMoves(f.now)
		requests := []CapacityRequest{requestFor(donorPool, 4), requestFor(recipientPool, 6)}
		requests[0].Releasable = f.upstreamsOf(donorPool)
		f.step(p, requests, isDrained, f.execute)
	}
	require.Len(t, f.upstreamsOf(recipientPool), 6)
}
