package bbrintake

import (
	"cmp"
	"context"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrcode"
	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrcell"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
	"github.com/bluebellridge/bluebellridge/internal/store/bbrkv"
)

// PreviewRequest describes a job that is not submitted.
type PreviewRequest struct {
	// Queue is the name of a queue, or the host and path of a submission.
	Queue string
	// ID, Organisation and Body may be empty.
	ID, Organisation string
	Body             []byte
}

// Preview is what would become of a job that is not submitted.
type Preview struct {
	// Code is the code of the answer, and Detail explains it.
	Code   bbrcode.Code
	Detail string
	// RetryAfter is when a refused caller should retry; 0 for the code's own time.
	RetryAfter time.Duration
	// Job is as it would be stored.
	Job   *bbrwork.Job
	Queue *bbrwork.Queue
	// Reason is why the job would go to its cell, of Cells cells.
	Reason bbrcell.Reason
	Cells  int
	// Assumed has the assumptions for what the request does not say.
	Assumed []string
}

// previewID is the ID of a job whose ID is not given.
const previewID = "0000000000000000"

// Preview returns what would become of a job if it were submitted now, by the functions
// that decide about submissions. It stores and counts nothing. The error has the code of a
// request that names something unknown or has an invalid body.
func (h *Handler) Preview(ctx context.Context, in PreviewRequest, now time.Time) (*Preview, error) {
	config := h.Intake.Config()
	if config == nil {
		return nil, bbrcode.Errorf(bbrcode.NotReady, "", "")
	}
	p := &Preview{}
	id, err := p.findQueue(config, in)
	if err != nil {
		return nil, err
	}
	if in.Organisation != "" && config.Organisations[in.Organisation] == nil {
		return nil, bbrcode.Errorf(bbrcode.UnknownName, in.Organisation, "no organisation has this name")
	}
	if p.Job, err = h.previewJob(p, in.Body, config); err != nil {
		return nil, err
	}
	if id == "" {
		id = previewID
		p.Assumed = append(p.Assumed, "ID "+previewID+", as none is given; the ID may select the cell")
	}
	if !h.Codec.ValidID(id) {
		return nil, bbrcode.Errorf(bbrcode.BadJob, id, "the ID must be 16 hexadecimal digits")
	}
	needsKey := h.needsKey(p.Queue, config)
	if needsKey {
		p.Job.Organisation = in.Organisation
	} else if in.Organisation != "" {
		p.Assumed = append(p.Assumed, "no organisation, as the queue needs no key")
	}
	assign(p.Job, p.Queue, id, now)
	p.Cells = h.Intake.Cells().Count()
	p.Job.Cell, p.Reason = h.Intake.previewCell(p.Job, now)
	p.Code, p.Detail = h.previewCode(ctx, p, needsKey, now)
	return p, nil
}

// findQueue finds the queue by name, or by host and path, and returns the job's ID.
func (p *Preview) findQueue(config *bbrwork.Config, in PreviewRequest) (id string, err error) {
	if p.Queue = config.Queues[in.Queue]; p.Queue != nil {
		return in.ID, nil
	}
	host, path, _ := strings.Cut(in.Queue, "/")
	if p.Queue, id = config.FindQueue(host, "/"+path); p.Queue == nil {
		return "", bbrcode.Errorf(bbrcode.UnknownQueue, in.Queue, "no queue has this name, or this host and path")
	}
	return cmp.Or(in.ID, id), nil
}

// previewJob decodes the body. Without one, the job is one work unit without needs.
func (h *Handler) previewJob(p *Preview, body []byte, config *bbrwork.Config) (*bbrwork.Job, error) {
	if len(body) == 0 {
		p.Assumed = append(p.Assumed, "one work unit that needs no capacity, as no job is given")
		return &bbrwork.Job{Steps: []bbrwork.Step{{Count: 1}}}, nil
	}
	if limit := h.bodyLimit(config); int64(len(body)) > limit {
		return nil, bbrcode.Errorf(bbrcode.BodyTooLarge, "body", "%d bytes of at most %d", len(body), limit)
	}
	job, err := h.Codec.DecodeSubmission(body)
	if err != nil && bbrcode.From(err, 0) == 0 {
		err = bbrcode.Errorf(bbrcode.BadJob, "body", "%v", err)
	}
	return job, err
}

// previewCell returns the cell that chooseCell would.
func (i *Intake) previewCell(job *bbrwork.Job, now time.Time) (int, bbrcell.Reason) {
	cells, homeCell := i.Cells(), i.Config().ServiceIndex(job.Service)
	if i.PreviewCell == nil {
		return cells.PreviewForJob(job, homeCell)
	}
	return i.PreviewCell(cells, job, homeCell, now)
}

// previewCode returns the code of the answer to the submission of the job, and its detail.
// It sets RetryAfter.
func (h *Handler) previewCode(ctx context.Context, p *Preview, needsKey bool, now time.Time) (bbrcode.Code, string) {
	i, job := h.Intake, p.Job
	if needsKey && job.Organisation == "" {
		return bbrcode.KeyMissing, "the queue needs a key of an organisation, and no organisation is given"
	}
	if !i.StoreAvailable(now) {
		return bbrcode.StoreUnavailable, ""
	}
	if _, retryAfter, beyond := i.beyondShare(job, p.Queue, now); beyond {
		if _, err := i.readStatus(ctx, job.ID); errors.Is(err, bbrkv.ErrNotFound) {
			p.RetryAfter = retryAfter
			return bbrcode.BeyondShare, ""
		}
	}
	if !i.Backlogs.wouldAdmit(job.Shard(), job.ListedBytes()) {
		if !i.mayBeStored(ctx, job) {
			return bbrcode.BacklogFull, ""
		}
	}
	if _, err := i.Acceptor.encode(job); err != nil {
		return bbrcode.BadJob, err.Error()
	}
	if i.Acceptor.full() {
		return bbrcode.QueueFull, ""
	}
	status, err := i.readStatus(ctx, job.ID)
	switch {
	case errors.Is(err, bbrkv.ErrNotFound):
		return bbrcode.Accepted, ""
	case err != nil:
		return bbrcode.StoreUnavailable, err.Error()
	default:
		return cmp.Or(codeOfStored(status, job.Organisation), bbrcode.Accepted), ""
	}
}
