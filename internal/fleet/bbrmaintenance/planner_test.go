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
	testAway = 2 * time.Second
	testStep = 100 * time.Millisecond
	pressed  = "pressed"
	calm     = "calm"
	off      = "off"
)

// testFleet plays the platform's side of orders.
type testFleet struct {
	now       time.Time
	instances map[string]*testInstance
	ids       []string
	// spare is the pool whose instances are off; empty where the fleet has none.
	spare string
}

type testInstance struct {
	bbrmachine.Instance
	back time.Time
	// lives counts, and maintained is the wave of its last maintenance.
	lives      int
	maintained int64
}

func newTestFleet(sizes map[string]int) *testFleet {
	f := &testFleet{now: time.Unix(1000, 0), instances: make(map[string]*testInstance)}
	if sizes[off] > 0 {
		f.spare = off
	}
	for _, pool := range []string{calm, off, pressed} {
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

func (f *testFleet) list() []bbrmachine.Instance {
	list := make([]bbrmachine.Instance, 0, len(f.ids))
	for _, id := range f.ids {
		instance := f.instances[id]
		if instance.Status != bbrmachine.StatusUp && !f.now.Before(instance.back) {
			instance.Status = bbrmachine.StatusUp
			instance.lives++
			instance.Upstream = fmt.Sprintf("%s-%d", id, instance.lives)
		}
		list = append(list, instance.Instance)
	}
	return list
}

// carryOut does what an order asks for.
func (f *testFleet) carryOut(order Order) Outcome {
	instance := f.instances[order.Instance]
	if instance.Status != bbrmachine.StatusUp {
		return OutcomeBusy
	}
	instance.Status = bbrmachine.StatusMoving
	if order.Wave != 0 {
		instance.Status, instance.maintained = bbrmachine.StatusMaintained, order.Wave
	} else {
		instance.Pool = order.Pool
	}
	instance.back, instance.Upstream = f.now.Add(testAway), ""
	return OutcomeDone
}

func (f *testFleet) away() int {
	count := 0
	for _, instance := range f.instances {
		if instance.Status == bbrmachine.StatusMaintained {
			count++
		}
	}
	return count
}

// step lets the planner decide once and carries out what answer lets through.
func (f *testFleet) step(p *Planner, needs []CapacityRequest, cleared func(bbrmachine.Instance) bool, answer func(order Order) Outcome) {
	f.now = f.now.Add(testStep)
	p.UpdateInstances(f.list(), f.now)
	p.Balance(needs, f.spare, func(string) bool { return true }, f.now)
	for _, order := range p.NextOrders(cleared, f.now) {
		p.RecordOutcome(order, answer(order), f.now)
	}
}

func always(bbrmachine.Instance) bool { return true }

// TestSuccessorDoesNotWaitForWhatWasDoneBefore plays a wave whose instances had
// their maintenance under an earlier holder that could not store it: the platform
// answers that it is done, no new life comes, and the wave is completed well
// within the time that another maintenance would take twice.
func TestSuccessorDoesNotWaitForWhatWasDoneBefore(t *testing.T) {
	f := newTestFleet(map[string]int{calm: 4})
	p := NewPlanner(testAway)
	p.AddWave(bbrmachine.Wave{Number: 1, Instances: f.ids, TimeLimit: 20 * time.Second, MaxAway: 4}, nil, f.now.Add(-18*time.Second))
	doneBefore := func(Order) Outcome { return OutcomeDone }
	for end := f.now.Add(2 * testAway); f.now.Before(end); {
		f.step(p, nil, always, doneBefore)
	}
	require.True(t, p.Progress()[0].Completed)
}

// TestInstanceMaintainedBeforeTakesWork guards against an upstream in use that
// stays reserved since its maintenance under an earlier holder was ordered again.
func TestInstanceMaintainedBeforeTakesWork(t *testing.T) {
	f := newTestFleet(map[string]int{calm: 4})
	p := NewPlanner(testAway)
	p.AddWave(bbrmachine.Wave{Number: 1, Instances: f.ids, TimeLimit: 20 * time.Second, MaxAway: 4}, nil, f.now.Add(-18*time.Second))
	doneBefore := func(Order) Outcome { return OutcomeDone }
	for end := f.now.Add(2 * testAway); f.now.Before(end); {
		f.step(p, nil, always, doneBefore)
	}
	require.True(t, progressOf(p).Completed)
	require.Empty(t, p.Reserved(f.now))
}

// ask makes a pool want so many instances.
func ask(pool string, instances int) CapacityRequest {
	return CapacityRequest{Partition: Partition{Pool: pool}, MilliCPU: int(targetUtilization*defaultMilliCPU*float64(instances)) - defaultMilliCPU/2}
}

func progressOf(p *Planner) WaveProgress { return p.Progress()[0] }

// TestWaveIsDoneWhileItsInstancesMove sees to it that an instance that has had
// its maintenance holds up no wave by being moved afterwards.
func TestWaveIsDoneWhileItsInstancesMove(t *testing.T) {
	f := newTestFleet(map[string]int{off: 4, calm: 4})
	p := NewPlanner(testAway)
	needs := []CapacityRequest{ask(calm, 4)}
	p.AddWave(bbrmachine.Wave{Number: 1, Instances: []string{"i04"}, TimeLimit: time.Minute, MaxAway: 1}, nil, f.now)
	for range 40 {
		f.step(p, needs, always, f.carryOut)
	}
	require.Equal(t, int64(1), f.instances["i04"].maintained)

	p.waves[1].completed = false
	p.tasks["i04"] = &task{instance: "i04", wave: 1, since: f.now}
	require.False(t, progressOf(p).Completed, "should wait for its own task")
	p.tasks["i04"] = &task{instance: "i04", pool: off, since: f.now}
	require.True(t, progressOf(p).Completed)
}

// TestWaveWaitsWhilePoolsAreShort plays a turn of demand that asks for more
// than the fleet has while a wave is open: the wave begins when the turn is
// over, or early enough to be done in time.
func TestWaveWaitsWhilePoolsAreShort(t *testing.T) {
	for _, turn := range []time.Duration{8 * time.Second, time.Minute} {
		f := newTestFleet(map[string]int{pressed: 20})
		p := NewPlanner(testAway)
		wave := bbrmachine.Wave{Number: 1, Instances: f.ids, TimeLimit: 30 * time.Second, MaxAway: 5}
		p.AddWave(wave, nil, f.now)
		began := f.now
		for f.now.Sub(began) < wave.TimeLimit {
			pool := ask(pressed, 10)
			if f.now.Sub(began) < turn {
				pool = ask(pressed, 40)
			}
			f.step(p, []CapacityRequest{pool}, always, f.carryOut)
			require.False(t, f.now.Sub(began) < 2*time.Second && f.away() > 0, "maintenance began at once in a turn of demand")
		}
		require.True(t, progressOf(p).Completed, "turn of %v", turn)
	}
}

// TestWavesKeepTheirLimit plays waves, moves and lost answers: never are more
// instances of a wave away for it than it allows, and a wave that is said to be
// done has had each instance maintained.
func TestWavesKeepTheirLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newTestFleet(map[string]int{pressed: rapid.IntRange(1, 8).Draw(t, "pressed"), calm: rapid.IntRange(1, 8).Draw(t, "calm"), off: rapid.IntRange(0, 4).Draw(t, "off")})
		p := NewPlanner(testAway)
		wave := bbrmachine.Wave{Number: 1, Instances: f.ids, TimeLimit: 30 * time.Second, MaxAway: rapid.IntRange(1, 4).Draw(t, "cap")}
		p.AddWave(wave, nil, f.now)
		answer := func(order Order) Outcome {
			switch rapid.IntRange(0, 5).Draw(t, "answer") {
			case 0:
				return OutcomeUnknown
			case 1:
				_ = f.carryOut(order)
				return OutcomeUnknown
			default:
				return f.carryOut(order)
			}
		}
		cleared := func(bbrmachine.Instance) bool { return rapid.Bool().Draw(t, "cleared") }
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			needs := []CapacityRequest{ask(pressed, rapid.IntRange(1, 20).Draw(t, "want")), ask(calm, 2)}
			needs[1].Releasable = f.lives(calm)
			f.step(p, needs, cleared, answer)
			require.LessOrEqual(t, f.away(), wave.MaxAway)
			if progressOf(p).Completed {
				for _, id := range f.ids {
					require.Equal(t, int64(1), f.instances[id].maintained, id)
				}
			}
		}
	})
}

func (f *testFleet) lives(pool string) []string {
	var lives []string
	for _, id := range f.ids {
		if f.instances[id].Pool == pool && f.instances[id].Upstream != "" {
			lives = append(lives, f.instances[id].Upstream)
		}
	}
	return lives
}

func waveOver(ids []string, limit int) bbrmachine.Wave {
	return bbrmachine.Wave{Number: 1, Instances: ids, TimeLimit: 4 * time.Second, MaxAway: limit}
}

// TestInstanceThatIsNeverClearedIsNotTakenAgain holds that a pool gets what it
// needs though the first instance that another one offers is never cleared, as one
// on which work stands still or that does not answer.
func TestInstanceThatIsNeverClearedIsNotTakenAgain(t *testing.T) {
	f := newTestFleet(map[string]int{calm: 16, pressed: 4})
	p := NewPlanner(testAway)
	cleared := func(instance bbrmachine.Instance) bool { return instance.ID != f.ids[0] }
	for end := f.now.Add(30 * time.Second); f.now.Before(end); {
		p.abandonStalledMoves(f.now)
		needs := []CapacityRequest{ask(calm, 4), ask(pressed, 6)}
		needs[0].Releasable = f.lives(calm)
		f.step(p, needs, cleared, f.carryOut)
	}
	require.Len(t, f.lives(pressed), 6)
}
