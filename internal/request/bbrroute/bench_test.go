package bbrroute

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/bluebellridge/bluebellridge/internal/config/bbrrevision"
	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrview"
)

var benchSelf = netip.MustParseAddrPort("10.0.0.1:7000")

// benchZone returns the view of a zone and a configuration of 76 pools.
func benchZone(entries, instances int) (*bbrview.View, *bbrrevision.Revision) {
	view := &bbrview.View{Entries: make(map[netip.AddrPort]bbrview.Entry), Instances: make(map[string]bbrview.Instance)}
	for i := range entries {
		peer := netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:7000", i+1))
		view.Entries[peer] = bbrview.Entry{Active: true, Incarnation: "x"}
	}
	config := bbrrevision.Config{Pools: make(map[string]bbrrevision.Pool), Queues: make(map[string]bbrrevision.Queue), Teams: make(map[string]bbrrevision.Team)}
	for i := range 76 {
		config.Pools[fmt.Sprint("p-", i)] = bbrrevision.Pool{UrgentReserve: 1}
		config.Queues[fmt.Sprint("q-", i)] = bbrrevision.Queue{Pool: fmt.Sprint("p-", i)}
	}
	config.Teams["team"] = bbrrevision.Team{Quota: 1 << 20}
	for i := range instances {
		id := fmt.Sprint("i-", i)
		view.Instances[id] = bbrview.Instance{ID: id, Rack: fmt.Sprint("r-", i/4), Pool: fmt.Sprint("p-", i%76), Slots: 8, State: bbrview.Serving}
	}
	return view, &bbrrevision.Revision{Number: 1, Config: config}
}

// BenchmarkAdmitAcquireRelease measures an entry's own cost per request: looking
// up the queue and the team, checking the quota, choosing an instance, and
// acquiring and releasing a slot.
func BenchmarkAdmitAcquireRelease(b *testing.B) {
	for _, instances := range []int{76, 228, 760} {
		b.Run(fmt.Sprintf("instancesPerPool=%d", instances/76), func(b *testing.B) {
			view, revision := benchZone(2, instances)
			var registry Registry
			table := registry.Build(view, 1, revision, benchSelf)
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				name := fmt.Sprint("q-", rand.IntN(76))
				for pb.Next() {
					queue, team := table.Queues[name], table.Teams["team"]
					if !team.State.Enter(team.Quota) {
						b.Fatal("the quota refused a request")
					}
					now := time.Now()
					if target := queue.Pool.Acquire(Criteria{TieBreaker: rand.Uint64()}, now); target != nil {
						queue.Pool.Release(target)
					}
					team.State.Leave()
				}
			})
		})
	}
}

// BenchmarkBuildTable measures the cost of applying a view to the routing table.
func BenchmarkBuildTable(b *testing.B) {
	for _, instances := range []int{50, 150, 540, 1080} {
		b.Run(fmt.Sprintf("instances=%d", instances), func(b *testing.B) {
			view, revision := benchZone(4, instances)
			var registry Registry
			b.ReportAllocs()
			for b.Loop() {
				registry.Build(view, 1, revision, benchSelf)
			}
		})
	}
}
