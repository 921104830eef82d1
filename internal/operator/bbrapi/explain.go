package bbrapi

import (
	"fmt"
	"strconv"
	"time"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrcode"
	"github.com/bluebellridge/bluebellridge/internal/operator/bbrlanguage"
	"github.com/bluebellridge/bluebellridge/internal/request/bbrroute"
)

// explain tells which instance this entry would send a request of the queue to now, without
// taking a slot. Requests have no ID, organisation or file.
func (x *Executor) explain(c *bbrlanguage.Explain, now time.Time) Result {
	if c.Job != "" || c.Organisation != "" || c.File != "" {
		return ErrorResult(bbrcode.Errorf(bbrcode.WrongState, "explain", "job, organisation and file are supported where jobs are run; here requests are forwarded"))
	}
	queue, ok := x.State.Table().Queues[c.Queue]
	if !ok {
		return ErrorResult(bbrcode.Errorf(bbrcode.UnknownQueue, c.Queue, ""))
	}
	result := Done("as seen by entry " + x.State.Identity.Name)
	result.Columns = []string{"what", "is"}
	result.Rows = [][]string{
		{"queue", fmt.Sprintf("%s of pool %s", c.Queue, queue.Pool.Name)},
		{"may send", strconv.FormatBool(x.State.MaySend(now))},
		{"ordinary request", describeTarget(queue.Pool, bbrroute.Criteria{}, now)},
		{"urgent request", describeTarget(queue.Pool, bbrroute.Criteria{Urgent: true}, now)},
	}
	return result
}

// describeTarget describes where a request goes that does not wait.
func describeTarget(pool *bbrroute.Pool, criteria bbrroute.Criteria, now time.Time) string {
	waiting := pool.WaitQueue.Len()
	if waiting > 0 && !criteria.Urgent {
		return fmt.Sprintf("waits behind %d others, or goes to another entry", waiting)
	}
	target := pool.Preview(criteria, now)
	if target == nil {
		return fmt.Sprintf("waits for a slot, %d of %d are free, or goes to another entry", pool.FreeSlots(), pool.Slots())
	}
	return fmt.Sprintf("instance %s in rack %s, or one with an equal load", target.ID, target.Rack)
}
