package bbrtransfer

import (
	"cmp"
	"slices"
	"time"

	"github.com/bluebellridge/bluebellridge/internal/store/bbrkv"
)

// Job is a job that waits for capacity and may go to another cell.
type Job struct {
	ID string
	// Since is when the work unit became eligible that has waited longest.
	Since time.Time
	Needs []Need
	// Cells has the cells that can run the job, without its own.
	Cells []int
}

// Cell is the offer of the shard in another cell.
type Cell struct {
	Cell     int
	Offer    Offer
	Revision bbrkv.Revision
}

// Sent is a job that went to a cell.
type Sent struct {
	Cell  int
	Needs []Need
	At    time.Time
	// Stored is the revision of the transaction; 0 while it is not known to be committed.
	Stored bbrkv.Revision
}

// Transfer is a job that is to go to a cell, whose owner has the token.
type Transfer struct {
	Job   Job
	Cell  int
	Token bbrkv.Revision
}

const (
	// settleTime is the time after a transfer in which the offer of the destination may not
	// include the job yet: the owner learns of it by a watch, and reports afterwards.
	settleTime = time.Second
	// turnTime is the time after which shards that look for capacity are assigned other
	// upstreams of a destination, so that few upstreams serve all shards in turn.
	turnTime = time.Second
)

// Choose returns the transfers of the jobs, those that have waited longest first, at most limit
// of them. own is the cell of the shard, and sent are its earlier transfers. Each job goes to
// the cell with the most free processor capacity that has enough for it. Shards that want
// capacity at the same time divide the upstreams of an offer, so that they do not send several
// times what fits.
func Choose(own int, jobs []Job, cells []Cell, sent []Sent, limit int, now time.Time) []Transfer {
	jobs = slices.Clone(jobs)
	slices.SortStableFunc(jobs, func(a, b Job) int { return cmp.Or(a.Since.Compare(b.Since), cmp.Compare(a.ID, b.ID)) })
	free := freeByCell(own, cells, sent, now)
	var transfers []Transfer
	for _, job := range jobs {
		if len(transfers) >= limit {
			break
		}
		for _, at := range byFreeCapacity(free) {
			if slices.Contains(job.Cells, cells[at].Cell) && Place(job.Needs, free[at]) {
				transfers = append(transfers, Transfer{Job: job, Cell: cells[at].Cell, Token: cells[at].Offer.Token})
				break
			}
		}
	}
	return transfers
}

// freeByCell returns the upstreams of each cell that this shard may use.
func freeByCell(own int, cells []Cell, sent []Sent, now time.Time) [][]Upstream {
	free := make([][]Upstream, len(cells))
	for i := range cells {
		rank, count := rankOf(own, cells, cells[i].Cell)
		turn := int(now.UnixNano() / int64(turnTime))
		for at, up := range cells[i].Offer.upstreams() {
			if (at+turn)%count == rank {
				free[i] = append(free[i], up)
			}
		}
		for _, s := range sent {
			if s.Cell == cells[i].Cell && (s.Stored == 0 || s.Stored > cells[i].Revision || now.Sub(s.At) < settleTime) {
				take(s.Needs, free[i])
			}
		}
	}
	return free
}

// take takes what the needs find on the upstreams, even if it does not suffice.
func take(needs []Need, upstreams []Upstream) {
	for _, n := range needs {
		n.Whole, n.OneUpstream = false, false
		Place([]Need{n}, upstreams)
	}
}

// rankOf returns the rank of the own cell among the count cells that want capacity and may send
// jobs to the destination.
func rankOf(own int, cells []Cell, destination int) (rank, count int) {
	count = 1
	for i := range cells {
		if c := &cells[i]; c.Cell != own && c.Cell != destination && c.Offer.Wanting {
			count++
			if c.Cell < own {
				rank++
			}
		}
	}
	return rank, count
}

// byFreeCapacity returns the indexes of the cells, those with the most free processor capacity
// first.
func byFreeCapacity(free [][]Upstream) []int {
	sums := make([]int, len(free))
	order := make([]int, len(free))
	for i, upstreams := range free {
		order[i] = i
		for _, up := range upstreams {
			sums[i] += up.Free.MilliCPU
		}
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(sums[b], sums[a]) })
	return order
}
