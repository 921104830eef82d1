package bbradmin

import (
	"fmt"
	"time"

	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrclaim"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrscheduler"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// describeUpstreams counts a shard's upstreams by the reason for which they may not
// take work.
func describeUpstreams(counts bbrscheduler.UpstreamCounts) string {
	text := fmt.Sprintf("%d of %d may take work", counts.Usable, counts.Total)
	for _, excluded := range []struct {
		count int
		text  string
	}{
		{counts.Unregistered, "not registered"},
		{counts.Draining, "draining"},
		{counts.Reserved, "reserved"},
		{counts.Unreached, "not reached"},
		{counts.WithOrphans, "with orphaned runs"},
		{counts.Silent, "silent"},
		{counts.Full, "full"},
		{counts.Unrecorded, "not recorded for a successor yet"},
		{counts.Suspect, "suspect"},
	} {
		if excluded.count > 0 {
			text += fmt.Sprintf(", %d %s", excluded.count, excluded.text)
		}
	}
	return text
}

// describeWait describes why a step waits, for what, and which party has to act next.
func (x *Executor) describeWait(step bbrscheduler.StepExplanation, shard bbrwork.Shard, now time.Time) string {
	text := string(step.Reason)
	if step.LongestWaiting != "" {
		text += fmt.Sprintf(", %s for %s", step.LongestWaiting, elapsed(step.WaitingSince, now))
	}
	return fmt.Sprintf("%s; for: %s; next step by: %s", text, step.WaitsFor, x.describeResponsible(step.Responsible, shard))
}

// describeResponsible names the responsible party and the entry that currently acts
// as it.
func (x *Executor) describeResponsible(responsible bbrscheduler.Responsible, shard bbrwork.Shard) string {
	text, claimName := "owner of "+shard.String(), shard.String()
	if responsible == bbrscheduler.ResponsibleFleetLeader {
		text, claimName = "fleet leader", bbrclaim.LeadershipName
	}
	claim, found := x.Directory.Owner(claimName)
	if !found {
		return text + ", none now"
	}
	return text + ", " + claim.Entry
}
