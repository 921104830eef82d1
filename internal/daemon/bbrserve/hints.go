package bbrserve

import (
	"context"
	"time"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrowner"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
	"github.com/bluebellridge/bluebellridge/internal/store/bbrkv"
)

// maxHints bounds the hints on their way; the owner hears of other jobs from the
// store.
const maxHints = 16

// tell tells the owner of a job that this entry has stored. It does not wait.
func (o *owners) tell(job *bbrwork.Job, stored bbrkv.Revision, now time.Time) {
	claim, owned := o.service.claims.Owner(job.Shard().String())
	if !owned {
		return
	}
	hint := bbrowner.NewHint(claim, job, stored)
	if o.accept(hint) {
		o.service.metrics.Event("hint:here")
		return
	}
	select {
	case o.hints <- struct{}{}:
		h := &hinting{owners: o, hint: hint}
		go h.run(now)
	default:
		o.service.metrics.Event("hint:tooMany")
	}
}

// accept takes a hint for an owner of this entry.
func (o *owners) accept(hint bbrowner.Hint) bool {
	if hint.Job == nil {
		return false
	}
	owner := o.runningOwner(hint.Job.Shard())
	return owner != nil && owner.AcceptHint(hint, time.Now())
}

// hinting carries one hint to another entry.
type hinting struct {
	owners *owners
	hint   bbrowner.Hint
}

func (h *hinting) run(now time.Time) {
	defer func() { <-h.owners.hints }()
	s := h.owners.service
	address, ok := h.owners.elsewhere(h.hint.Job.Shard())
	if !ok {
		return
	}
	outcome := "hint:notTaken"
	if s.questions.Hint(context.Background(), address, h.hint, now) {
		outcome = "hint:taken"
	}
	s.metrics.Event(outcome)
}
