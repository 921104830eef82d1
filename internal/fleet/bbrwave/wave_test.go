package bbrwave

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrview"
)

// simulation is a wave with its zones and the reboots that took place.
type simulation struct {
	wave  Wave
	views []bbrview.View
	now   time.Time
	// reboots counts the completed reboots of each instance.
	reboots map[string]int
}

// withdraw writes the withdrawal of an instance to the view of zone z.
func (sim *simulation) withdraw(z int, id, operation string) {
	_ = sim.views[z].Withdraw(bbrview.Withdrawal{Instance: id, Plan: bbrview.Reboot, Operation: operation}, sim.now)
}

// completeReboot completes the reboot of an instance if it is withdrawn.
func (sim *simulation) completeReboot(z int, id string) {
	instance := sim.views[z].Instances[id]
	if instance.State != bbrview.Draining {
		return
	}
	sim.reboots[id]++
	instance.State = bbrview.Serving
	instance.Operation = ""
	sim.views[z].Instances[id] = instance
}

func (sim *simulation) check(t *rapid.T) {
	failed := sim.wave.Count(Failed) - sim.wave.AcknowledgedFailures
	for _, view := range sim.views {
		racks := make(map[string]bool)
		started := 0
		for _, progress := range sim.wave.Instances {
			if progress.Zone == view.Zone && progress.Phase == Started {
				racks[progress.Rack] = true
				started++
			}
		}
		require.LessOrEqual(t, len(racks), 1, "a zone should have started instances in one rack at a time")
		require.LessOrEqual(t, started, maxStarted)
		next := sim.wave.Next(view.Zone)
		if sim.wave.Count(Finished) == 0 {
			require.LessOrEqual(t, len(next)+started, 1, "a wave should start with one instance")
		}
		require.True(t, len(next) == 0 || failed < failuresUntilHalt, "a wave with repeated failures should start nothing")
	}
	for id, progress := range sim.wave.Instances {
		if progress.Phase == Finished {
			require.Positive(t, sim.reboots[id], "finished instance %s should have been rebooted", id)
		}
	}
	if sim.wave.Status == Done {
		require.Zero(t, sim.wave.Count(Pending)+sim.wave.Count(Started))
	}
}

// TestWaveRecordsActualReboots runs a wave through refusals, lost instances, writes
// that come late or not at all, and operators' commands. The wave must not record an
// instance as finished that was not rebooted, and must keep to one rack of a zone.
func TestWaveRecordsActualReboots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		views, _ := newFleet(2, 16, 3, 1)
		now := time.Unix(1000, 0)
		wave, err := New("w", "", "operation", views, now)
		require.NoError(t, err)
		sim := &simulation{wave: wave, views: views, now: now, reboots: make(map[string]int)}
		var delayedWrites []func()
		zone := func(t *rapid.T) int { return rapid.IntRange(0, 1).Draw(t, "zone") }
		instance := func(t *rapid.T, z int) string {
			return rapid.SampledFrom(slices.Sorted(maps.Keys(sim.views[z].Instances))).Draw(t, "instance")
		}
		advance := func(t *rapid.T) {
			z := zone(t)
			sim.wave.Observe(&sim.views[z], sim.now)
			for _, id := range sim.wave.Next(sim.views[z].Zone) {
				require.Equal(t, Pending, sim.wave.Instances[id].Phase)
				sim.wave.Start(id, sim.now)
				operation := sim.wave.OperationFor(id)
				switch rapid.IntRange(0, 5).Draw(t, "outcome") {
				case 0:
					sim.wave.Requeue(id, sim.now)
				case 1:
					delayedWrites = append(delayedWrites, func() { sim.withdraw(z, id, operation) })
				default:
					sim.withdraw(z, id, operation)
				}
			}
		}
		completeReboots := func(t *rapid.T) {
			z := zone(t)
			for id := range sim.views[z].Instances {
				if rapid.Bool().Draw(t, "reboot completes") {
					sim.completeReboot(z, id)
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"":                    sim.check,
			"advance":             advance,
			"advanceAgain":        advance,
			"advanceMore":         advance,
			"completeReboots":     completeReboots,
			"completeMoreReboots": completeReboots,
			"delayedWrites": func(*rapid.T) {
				for _, write := range delayedWrites {
					write()
				}
				delayedWrites = nil
			},
			"time": func(t *rapid.T) {
				sim.now = sim.now.Add(time.Duration(rapid.IntRange(1, 1200).Draw(t, "seconds")) * time.Second)
			},
			"loseInstance": func(t *rapid.T) { z := zone(t); sim.views[z].MarkLost(instance(t, z), "lost", sim.now) },
			"operator": func(t *rapid.T) {
				z := zone(t)
				sim.withdraw(z, instance(t, z), rapid.SampledFrom([]string{"other-1", "other-2"}).Draw(t, "operation"))
			},
			"halt":   func(*rapid.T) { _ = sim.wave.Halt(sim.now) },
			"resume": func(*rapid.T) { _ = sim.wave.Resume(sim.now) },
		})
	})
}
