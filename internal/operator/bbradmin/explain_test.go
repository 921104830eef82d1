package bbradmin

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrclaim"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrrecord"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrscheduler"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
	"github.com/bluebellridge/bluebellridge/internal/operator/bbrapi"
	"github.com/bluebellridge/bluebellridge/internal/store/bbrkv"
)

func claimItem(name, entry string) bbrkv.Item {
	return bbrkv.Item{Key: bbrclaim.ClaimKey(name), Revision: 2, Created: 2, Value: fmt.Appendf(nil, `{"entry": %q, "incarnation": "x"}`, entry)}
}

// TestWhyReportsWaitAndResponsibleParty checks that each waiting step has a line with
// the one thing that it waits for and the entry that has to act.
func TestWhyReportsWaitAndResponsibleParty(t *testing.T) {
	const job = "00000000000000a1"
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	x, m := newTestExecutor()
	m.put(bbrrecord.StatusKey(job), bbrrecord.Encode(bbrrecord.Status{At: now, Queue: "proofs", Service: "press"}))
	x.Directory.Snapshot([]bbrkv.Item{claimItem("press/0", "e1"), claimItem(bbrclaim.LeadershipName, "e2")}, 0, now)
	x.Explain = func(context.Context, bbrwork.Shard, string, time.Time) (bbrscheduler.Explanation, bool) {
		return bbrscheduler.Explanation{
			State:     bbrwork.Running,
			Upstreams: bbrscheduler.UpstreamCounts{Total: 9, Usable: 3, Unregistered: 1, Draining: 1, Reserved: 1, Unreached: 1, Silent: 1, Suspect: 1},
			Steps: []bbrscheduler.StepExplanation{
				{Units: 1, Done: 1},
				{Step: 1, Units: 1, WaitDetail: "…", Reason: bbrscheduler.ReasonCapacityFragmented, WaitsFor: bbrscheduler.AwaitsUpstream, Responsible: bbrscheduler.ResponsibleFleetLeader, LongestWaiting: job + ".0.1.0", WaitingSince: now.Add(-4 * time.Second)},
				{Step: 2, Units: 1, WaitDetail: "…", Reason: bbrscheduler.ReasonEarlierSteps, WaitsFor: bbrscheduler.AwaitsEarlierWork, Responsible: bbrscheduler.ResponsibleOwner},
			},
		}, true
	}
	result, err := x.execute(context.Background(), bbrapi.Request{Line: "why job " + job}, now)
	require.NoError(t, err)
	rows := make(map[string]string)
	for _, row := range result.Rows {
		rows[row[0]] = row[1]
	}
	require.Equal(t, "3 of 9 may take work, 1 not registered, 1 draining, 1 reserved, 1 not reached, 1 silent, 1 suspect", rows["upstreams"])
	require.NotContains(t, rows, "step 0.0 waits")
	require.Equal(t, "roomInPieces, "+job+".0.1.0 for 4s; for: upstream; next step by: fleet leader, e2", rows["step 0.1 waits"])
	require.Equal(t, "earlierSteps; for: earlierWork; next step by: owner of press/0, e1", rows["step 0.2 waits"])
	require.Equal(t, "fleet leader, none now", (&Executor{Directory: &bbrclaim.Directory{}}).describeResponsible(bbrscheduler.ResponsibleFleetLeader, bbrwork.Shard{}))
}
