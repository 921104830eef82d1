package bbradmin

import (
	"cmp"
	"context"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrcode"
	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrcell"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrintake"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrscheduler"
	"github.com/bluebellridge/bluebellridge/internal/operator/bbrapi"
	"github.com/bluebellridge/bluebellridge/internal/operator/bbrlanguage"
)

// explain explains where a job would go if it were submitted to this entry now.
func (x *Executor) explain(ctx context.Context, c *bbrlanguage.Explain, body []byte, now time.Time) (bbrapi.Result, error) {
	if c.File != "" && len(body) == 0 {
		return bbrapi.Result{}, bbrcode.Errorf(bbrcode.Syntax, "file", "the command came without the content of the file")
	}
	preview, err := x.Preview(ctx, bbrintake.PreviewRequest{Queue: c.Queue, ID: c.Job, Organisation: c.Organisation, Body: body}, now)
	if err != nil {
		return bbrapi.Result{}, err
	}
	t := &table{columns: []string{"what", "is"}}
	addPreview(t, preview)
	x.addPlacement(ctx, t, preview, now)
	return t.result(), nil
}

// addPreview adds what this entry decides about the job.
func addPreview(t *table, preview *bbrintake.Preview) {
	job := preview.Job
	t.add("answer", describeAnswer(preview))
	for _, text := range preview.Assumed {
		t.add("assumed", text)
	}
	t.add("queue", fmt.Sprintf("%s of service %s, priority %d, objective %g times the critical path plus %s",
		job.Queue, job.Service, preview.Queue.Priority, preview.Queue.Stretch, preview.Queue.Objective))
	if job.Organisation != "" {
		t.add("organisation", job.Organisation)
	}
	t.add("cell", fmt.Sprintf("%d, of %d cells; %s: %s", job.Cell, preview.Cells, preview.Reason, cellReasons[preview.Reason]))
	t.add("shard", job.Shard().String())
}

// describeAnswer describes the answer that the submitter of the job would get.
func describeAnswer(preview *bbrintake.Preview) string {
	info := preview.Code.Info()
	text, detail := "accepted", preview.Detail
	if preview.Code != bbrcode.Accepted {
		text = "not accepted"
	}
	if detail == "" {
		detail = info.Text
	}
	text += fmt.Sprintf(", %d %s (status %d): %s", preview.Code, info.Name, info.Status, detail)
	if retryAfter := cmp.Or(preview.RetryAfter, info.RetryAfter); retryAfter > 0 {
		text += fmt.Sprintf(" Retry-After: %d", int(math.Ceil(retryAfter.Seconds())))
	}
	return text
}

// cellReasons describes the reasons for the choice of a cell.
var cellReasons = map[bbrcell.Reason]string{
	bbrcell.ReasonOnlyCell:      "the fleet has one cell",
	bbrcell.ReasonManyUpstreams: "the job needs many upstreams at once and goes to the service's home cell",
	bbrcell.ReasonData:          "the cell has the rack of the job's data",
	bbrcell.ReasonID:            "the job's ID selects among the cells with the labels that the job requires",
	bbrcell.ReasonUnknownRoom:   "the job's ID selects the cell, as the room of fewer than two cells is known",
	bbrcell.ReasonEvenRoom:      "the job's ID selects the cell, as the room follows the sizes of the cells",
	bbrcell.ReasonRoomKept:      "jobs are balanced by room, and this one stays where its ID selects",
	bbrcell.ReasonRoomMoved:     "jobs are balanced by room, and this one goes to a cell with more room than its ID selects",
}

// addPlacement adds what the owner of the job's shard answers.
func (x *Executor) addPlacement(ctx context.Context, t *table, preview *bbrintake.Preview, now time.Time) {
	job := preview.Job
	claim, owned := x.Directory.Owner(job.Shard().String())
	if !owned {
		t.add("owner", "none; no entry has claimed the shard yet")
		return
	}
	t.add("owner", fmt.Sprintf("%s, token %d", claim.Entry, claim.Revision))
	placement, err := x.Place(ctx, job, now)
	switch {
	case err != nil:
		t.add("decision", "unknown: "+err.Error())
		return
	case placement.State != "":
		t.add("state", fmt.Sprintf("%s; the owner has a job with this ID already", placement.State))
		return
	}
	t.add("objective", fmt.Sprintf("%s, in %s", placement.Objective.UTC().Format(time.RFC3339Nano), elapsed(now, placement.Objective)))
	t.add("upstreams", describeUpstreams(placement.Upstreams))
	for _, step := range placement.Steps {
		addStep(t, step)
	}
	if placement.OmittedSteps > 0 {
		t.add("steps", fmt.Sprintf("%d more are not shown", placement.OmittedSteps))
	}
}

// addStep adds where a step would start, and why the rest of it would wait.
func addStep(t *table, step bbrscheduler.StepPlacement) {
	name := fmt.Sprintf("step %d.%d", step.Occurrence, step.Step)
	text := fmt.Sprintf("tier %d; %d of %d would start now", step.Tier, step.Running, step.Units)
	if len(step.Upstreams) > 0 {
		text += ", the first on " + strings.Join(slices.Compact(step.Upstreams), " ")
	}
	if step.StepsBefore > 0 {
		text += fmt.Sprintf("; %d work units of %d waiting steps come first and may take the capacity", step.UnitsBefore, step.StepsBefore)
	}
	t.add(name, text)
	if step.Reason != "" {
		t.add(name+" waits", fmt.Sprintf("%s; %s; for: %s", step.Reason, step.WaitDetail, step.WaitsFor))
	}
}
