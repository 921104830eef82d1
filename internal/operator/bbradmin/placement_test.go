package bbradmin

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrcode"
	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrcell"
	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrclaim"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrintake"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrscheduler"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
	"github.com/bluebellridge/bluebellridge/internal/operator/bbrapi"
	"github.com/bluebellridge/bluebellridge/internal/peer/bbrinquiry"
	"github.com/bluebellridge/bluebellridge/internal/store/bbrkv"
)

// newExplainExecutor returns an executor for one queue, whose owner gives the answer.
func newExplainExecutor(placement bbrscheduler.Placement, err error) *Executor {
	x, _ := newTestExecutor()
	x.Directory.Snapshot([]bbrkv.Item{claimItem("press/1", "e1")}, 0, time.Unix(0, 0))
	x.Preview = func(_ context.Context, in bbrintake.PreviewRequest, _ time.Time) (*bbrintake.Preview, error) {
		if in.Queue != "proofs" {
			return nil, bbrcode.Errorf(bbrcode.UnknownQueue, in.Queue, "")
		}
		job := &bbrwork.Job{ID: in.ID, Queue: in.Queue, Organisation: in.Organisation, Service: "press", Cell: 1}
		return &bbrintake.Preview{Code: bbrcode.StoreUnavailable, Job: job, Queue: &bbrwork.Queue{Priority: 2, Stretch: 1.6, Objective: time.Second}, Reason: bbrcell.ReasonData, Cells: 3}, nil
	}
	x.Place = func(context.Context, *bbrwork.Job, time.Time) (bbrscheduler.Placement, error) { return placement, err }
	return x
}

func explainRows(t *testing.T, x *Executor, line string) map[string]string {
	t.Helper()
	result, err := x.execute(t.Context(), bbrapi.Request{Line: line, Body: []byte("{}")}, time.Unix(0, 0))
	require.NoError(t, err)
	rows := make(map[string]string)
	for _, row := range result.Rows {
		rows[row[0]] = row[1]
	}
	return rows
}

// TestExplainShowsDecisions checks that the table has the answer to the submitter, the cell
// with its reason, and for each step where it starts or why it waits.
func TestExplainShowsDecisions(t *testing.T) {
	x := newExplainExecutor(bbrscheduler.Placement{
		Objective:    time.Unix(2, 0),
		Upstreams:    bbrscheduler.UpstreamCounts{Total: 2, Usable: 2},
		OmittedSteps: 7,
		Steps: []bbrscheduler.StepPlacement{
			{Tier: 1, StepsBefore: 2, UnitsBefore: 9, StepExplanation: bbrscheduler.StepExplanation{Units: 4, Running: 3, Upstreams: []string{"i-1", "i-1", "i-2"},
				WaitDetail: "3 lack free capacity", Reason: bbrscheduler.ReasonCapacityUsedByFiniteWork, WaitsFor: bbrscheduler.AwaitsCapacity}},
		},
	}, nil)
	rows := explainRows(t, x, "explain proofs job 00000000000000a1 organisation guild file job.json")
	require.Equal(t, "not accepted, 2023 storeAway (status 503): The platform's store is unavailable; nothing was stored. Retry-After: 1", rows["answer"])
	require.Equal(t, "1, of 3 cells; data: the cell has the rack of the job's data", rows["cell"])
	require.Equal(t, "proofs of service press, priority 2, objective 1.6 times the critical path plus 1s", rows["queue"])
	require.Equal(t, "press/1", rows["shard"])
	require.Equal(t, "e1, token 2", rows["owner"])
	require.Equal(t, "guild", rows["organisation"])
	require.Equal(t, "1970-01-01T00:00:02Z, in 2s", rows["objective"])
	require.Equal(t, "tier 1; 3 of 4 would start now, the first on i-1 i-2; 9 work units of 2 waiting steps come first and may take the capacity", rows["step 0.0"])
	require.Equal(t, "roomOfEndingWork; 3 lack free capacity; for: place", rows["step 0.0 waits"])
	require.Equal(t, "7 more are not shown", rows["steps"])
}

// TestExplainShowsRetryAfter guards against a time for a retry that differs from that of
// the answer to the submission.
func TestExplainShowsRetryAfter(t *testing.T) {
	require.Contains(t, describeAnswer(&bbrintake.Preview{Code: bbrcode.BeyondShare, RetryAfter: 5 * time.Second}), " Retry-After: 5")
	require.Contains(t, describeAnswer(&bbrintake.Preview{Code: bbrcode.StoreUnavailable}), " Retry-After: 1")
}

// TestExplainWithoutAnswer checks that the table says why the owner's part is missing and
// has what the entry itself knows.
func TestExplainWithoutAnswer(t *testing.T) {
	for _, reason := range []error{bbrinquiry.ErrNoAnswer, bbrinquiry.ErrUnsupported, bbrinquiry.ErrNotOwner} {
		rows := explainRows(t, newExplainExecutor(bbrscheduler.Placement{}, reason), "explain proofs")
		require.Equal(t, "unknown: "+reason.Error(), rows["decision"])
		require.NotEmpty(t, rows["cell"])
	}
	rows := explainRows(t, newExplainExecutor(bbrscheduler.Placement{State: bbrwork.Running}, nil), "explain proofs")
	require.Equal(t, "running; the owner has a job with this ID already", rows["state"])
	x := newExplainExecutor(bbrscheduler.Placement{}, nil)
	x.Directory = &bbrclaim.Directory{}
	require.Equal(t, "none; no entry has claimed the shard yet", explainRows(t, x, "explain proofs")["owner"])
	require.Equal(t, bbrcode.UnknownQueue, x.code("explain nothing"))
	require.Equal(t, bbrcode.Syntax, x.code("explain proofs file job.json"), "the file was not sent")
}

// TestCellReasonsAreDescribed guards against a reason without a text.
func TestCellReasonsAreDescribed(t *testing.T) {
	for _, reason := range []bbrcell.Reason{bbrcell.ReasonOnlyCell, bbrcell.ReasonManyUpstreams, bbrcell.ReasonData, bbrcell.ReasonID,
		bbrcell.ReasonUnknownRoom, bbrcell.ReasonEvenRoom, bbrcell.ReasonRoomKept, bbrcell.ReasonRoomMoved} {
		require.NotEmpty(t, cellReasons[reason], reason)
	}
}
