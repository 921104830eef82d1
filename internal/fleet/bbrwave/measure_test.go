package bbrwave

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/config/bbrrevision"
	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrpermit"
	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrview"
)

const rebootDuration = 2 * time.Minute

// newFleet returns zones with instances spread over pools, four to a rack, and a
// configuration with one service with a budget for each pool.
func newFleet(zones, instances, pools, budget int) ([]bbrview.View, bbrrevision.Config) {
	views := make([]bbrview.View, zones)
	for z := range views {
		views[z] = bbrview.View{Zone: fmt.Sprint("z-", z), Instances: make(map[string]bbrview.Instance)}
	}
	for i := range instances {
		id := fmt.Sprintf("i-%04d", i)
		z := i % zones
		views[z].Instances[id] = bbrview.Instance{ID: id, Rack: fmt.Sprintf("r-%d-%03d", z, i/zones/4), Pool: fmt.Sprint("p-", (i/zones)%pools), State: bbrview.Serving}
	}
	config := bbrrevision.Config{Services: make(map[string]bbrrevision.Service), Queues: make(map[string]bbrrevision.Queue)}
	for p := range pools {
		name := fmt.Sprint("p-", p)
		config.Services[name] = bbrrevision.Service{Budget: budget}
		config.Queues[name] = bbrrevision.Queue{Service: name, Pool: name}
	}
	return views, config
}

// repairDuration is how long the repair of a broken instance takes. Until then it
// holds its permit, so that with a budget of one no other instance of its pool may be
// withdrawn.
const repairDuration = 30 * time.Minute

// simulateRollOut runs a wave second by second and returns how long it took and how
// often it halted. Broken instances return after their repair; an operator resumes a
// halted wave at once.
func simulateRollOut(t *testing.T, views []bbrview.View, config bbrrevision.Config, broken map[string]bool) (time.Duration, int) {
	start := time.Unix(0, 0)
	w, err := New("w", "", "operation", views, start)
	require.NoError(t, err)
	registry := &bbrpermit.Registry{}
	rules := bbrpermit.Rules{Revision: &bbrrevision.Revision{Number: 1, Config: config}}
	halts := 0
	for now := start; now.Before(start.Add(100 * time.Hour)); now = now.Add(time.Second) {
		for z := range views {
			view := &views[z]
			completeReboots(view, registry, broken, now)
			w.Observe(view, now)
			for _, id := range w.Next(view.Zone) {
				w.Start(id, now)
				permit := bbrpermit.Permit{Instance: id, Zone: view.Zone, Pool: view.Instances[id].Pool, Operation: w.OperationFor(id)}
				if registry.Acquire(rules, permit) != nil {
					w.Requeue(id, now)
					continue
				}
				require.NoError(t, view.Withdraw(bbrview.Withdrawal{Instance: id, Plan: bbrview.Reboot, Operation: w.OperationFor(id)}, now))
			}
		}
		if w.Status == Halted {
			halts++
			require.NoError(t, w.Resume(now))
		}
		if w.Status == Done {
			return now.Sub(start), halts
		}
	}
	t.Fatal("the wave did not end within 100 hours")
	return 0, 0
}

// completeReboots returns instances to service whose reboot or repair is complete.
func completeReboots(view *bbrview.View, registry *bbrpermit.Registry, broken map[string]bool, now time.Time) {
	for id, instance := range view.Instances {
		duration := rebootDuration
		if broken[id] {
			duration = repairDuration
		}
		if instance.State != bbrview.Draining || now.Sub(instance.Since) < duration {
			continue
		}
		registry.Release(id, instance.Operation)
		instance.State = bbrview.Serving
		instance.Operation = ""
		view.Instances[id] = instance
	}
}

// TestMeasureRollOutTime prints the time of a roll-out beside its lower bound: the
// reboots of the largest pool in groups of the size of its budget.
func TestMeasureRollOutTime(t *testing.T) {
	for _, size := range []struct{ zones, instances, pools, budget int }{{4, 50, 5, 1}, {3, 50, 5, 2}, {7, 540, 76, 1}} {
		for _, failures := range []int{0, 1, 4} {
			views, config := newFleet(size.zones, size.instances, size.pools, size.budget)
			broken := make(map[string]bool)
			for i := range failures {
				broken[fmt.Sprintf("i-%04d", i*size.zones)] = true
			}
			duration, halts := simulateRollOut(t, views, config, broken)
			largest := 0
			counts := make(map[string]int)
			for _, view := range views {
				for _, instance := range view.Instances {
					counts[instance.Pool]++
					largest = max(largest, counts[instance.Pool])
				}
			}
			bound := time.Duration((largest+size.budget-1)/size.budget) * rebootDuration
			t.Logf("zones=%d instances=%d pools=%d budget=%d failing=%d: roll-out %s, bound by the budgets without failures %s, halts %d",
				size.zones, size.instances, size.pools, size.budget, failures, duration.Round(time.Second), bound, halts)
		}
	}
}

func BenchmarkPlanAndChoose(b *testing.B) {
	for _, instances := range []int{50, 150, 540, 1080} {
		b.Run(fmt.Sprintf("instances=%d", instances), func(b *testing.B) {
			views, _ := newFleet(7, instances, 76, 1)
			for b.Loop() {
				w, _ := New("w", "", "operation", views, time.Unix(0, 0))
				for _, view := range views {
					w.Next(view.Zone)
				}
			}
		})
	}
}
