package bbrtransfer

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

func cores(n int) bbrwork.Resources { return bbrwork.Resources{MilliCPU: 1000 * n, MemoryMB: 1000 * n} }

func jobOf(id string, since time.Time, need Need, cells ...int) Job {
	return Job{ID: id, Since: since, Needs: []Need{need}, Cells: cells}
}

// TestChoose guards against jobs that go to a cell which cannot run them or has too little
// capacity for all that is sent there, and against work that must stay together and is split.
func TestChoose(t *testing.T) {
	now := time.Unix(1000, 0)
	one := Need{Allocation: cores(1), Units: 1}
	ten := Need{Allocation: cores(1), Units: 10}
	whole, labelled, spread, together := ten, one, ten, ten
	whole.Whole, labelled.Label = true, "fast"
	spread.Whole, spread.MaxPerUpstream = true, 2
	together.Whole, together.OneUpstream = true, true
	offer := func(groups ...Group) Offer { return Offer{Token: 7, Groups: groups} }
	four := Group{Count: 2, Free: cores(4)}
	tests := []struct {
		name  string
		jobs  []Job
		cells []Cell
		sent  []Sent
		// want has the cells by job, in the order of the transfers.
		want []string
	}{
		{name: "no offer", jobs: []Job{jobOf("a", now, one, 1)}},
		{name: "no free capacity", jobs: []Job{jobOf("a", now, one, 1)}, cells: []Cell{{Cell: 1, Offer: offer()}}},
		{name: "the longest wait first", jobs: []Job{jobOf("a", now, one, 1), jobOf("b", now.Add(-time.Second), one, 1)},
			cells: []Cell{{Cell: 1, Offer: offer(Group{Count: 1, Free: cores(1)})}}, want: []string{"b to 1"}},
		{name: "the cell with the most free capacity", jobs: []Job{jobOf("a", now, one, 1, 2)},
			cells: []Cell{{Cell: 1, Offer: offer(Group{Count: 1, Free: cores(2)})}, {Cell: 2, Offer: offer(four)}}, want: []string{"a to 2"}},
		{name: "a cell that cannot run it", jobs: []Job{jobOf("a", now, one, 2)}, cells: []Cell{{Cell: 1, Offer: offer(four)}}},
		{name: "part of the work units fit", jobs: []Job{jobOf("a", now, ten, 1)}, cells: []Cell{{Cell: 1, Offer: offer(four)}}, want: []string{"a to 1"}},
		{name: "part of a gang fits", jobs: []Job{jobOf("a", now, whole, 1)}, cells: []Cell{{Cell: 1, Offer: offer(four)}}},
		{name: "a gang fits", jobs: []Job{jobOf("a", now, whole, 1)}, cells: []Cell{{Cell: 1, Offer: offer(Group{Count: 3, Free: cores(4)})}}, want: []string{"a to 1"}},
		{name: "a gang on one upstream", jobs: []Job{jobOf("a", now, together, 1)}, cells: []Cell{{Cell: 1, Offer: offer(Group{Count: 3, Free: cores(4)})}}},
		{name: "too few upstreams", jobs: []Job{jobOf("a", now, spread, 1)}, cells: []Cell{{Cell: 1, Offer: offer(Group{Count: 4, Free: cores(9)})}}},
		{name: "enough upstreams", jobs: []Job{jobOf("a", now, spread, 1)}, cells: []Cell{{Cell: 1, Offer: offer(Group{Count: 5, Free: cores(9)})}}, want: []string{"a to 1"}},
		{name: "no upstream with the label", jobs: []Job{jobOf("a", now, labelled, 1)}, cells: []Cell{{Cell: 1, Offer: offer(four)}}},
		{name: "an upstream with the label", jobs: []Job{jobOf("a", now, labelled, 1)},
			cells: []Cell{{Cell: 1, Offer: offer(Group{Count: 1, Free: cores(1), Labels: []string{"fast"}})}}, want: []string{"a to 1"}},
		{name: "sent after the report", jobs: []Job{jobOf("a", now, one, 1)}, cells: []Cell{{Cell: 1, Revision: 5, Offer: offer(Group{Count: 1, Free: cores(1)})}},
			sent: []Sent{{Cell: 1, Needs: []Need{one}, At: now.Add(-2 * time.Second), Stored: 6}}},
		{name: "sent a moment before the report", jobs: []Job{jobOf("a", now, one, 1)}, cells: []Cell{{Cell: 1, Revision: 7, Offer: offer(Group{Count: 1, Free: cores(1)})}},
			sent: []Sent{{Cell: 1, Needs: []Need{one}, At: now.Add(-settleTime / 2), Stored: 6}}},
		{name: "sent long before the report", jobs: []Job{jobOf("a", now, one, 1)}, cells: []Cell{{Cell: 1, Revision: 7, Offer: offer(Group{Count: 1, Free: cores(1)})}},
			sent: []Sent{{Cell: 1, Needs: []Need{one}, At: now.Add(-2 * settleTime), Stored: 6}}, want: []string{"a to 1"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var got []string
			for _, transfer := range Choose(0, test.jobs, test.cells, test.sent, 10, now) {
				got = append(got, fmt.Sprintf("%s to %d", transfer.Job.ID, transfer.Cell))
				require.EqualValues(t, 7, transfer.Token)
			}
			require.Equal(t, test.want, got)
		})
	}
}

// TestShardsDoNotFloodACell checks that the shards that want capacity at the same time send no
// more to a cell than fits there, and that one shard alone uses all of it.
func TestShardsDoNotFloodACell(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		now := time.Unix(0, rapid.Int64Range(0, int64(time.Hour)).Draw(rt, "now"))
		free := rapid.IntRange(1, 12).Draw(rt, "free")
		wanting := rapid.IntRange(1, 4).Draw(rt, "wanting")
		const destination = 9
		cells := []Cell{{Cell: destination, Offer: Offer{Groups: []Group{{Count: free, Free: cores(2)}}}}}
		for cell := range wanting {
			cells = append(cells, Cell{Cell: cell, Offer: Offer{Wanting: true}})
		}
		total := 0
		for own := range wanting {
			var jobs []Job
			for n := range 30 {
				jobs = append(jobs, jobOf(fmt.Sprint(n), now, Need{Allocation: cores(1), Units: 1}, destination))
			}
			total += len(Choose(own, jobs, cells, nil, 30, now))
		}
		require.Equal(rt, 2*free, total)
	})
}

// TestOfferIsBounded guards against reports that grow with the pool.
func TestOfferIsBounded(t *testing.T) {
	var upstreams []Upstream
	for n := range 100 {
		upstreams = append(upstreams, Upstream{Free: cores(1 + n%40)}, Upstream{Free: bbrwork.Resources{MilliCPU: -1}})
	}
	groups := GroupUpstreams(upstreams)
	require.Len(t, groups, MaxGroups)
	broken := Offer{Groups: []Group{{Count: 1 << 40, Free: cores(1)}}}
	require.Len(t, broken.upstreams(), maxUpstreams)
}
