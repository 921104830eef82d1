package bbrserve

import (
	"context"
	"time"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrowner"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
	"github.com/bluebellridge/bluebellridge/internal/store/bbrkv"
)

// maxHintsInFlight bounds the hints in flight to other entries. Beyond it no hint
// is sent; the owner then learns of the job from the store.
const maxHintsInFlight = 16

// notifyOwner notifies the owner of a job's shard that this entry has stored the
// job. It does not block.
func (o *owners) notifyOwner(job *bbrwork.Job, stored bbrkv.Revision, now time.Time) {
	claim, owned := o.daemon.directory.Owner(job.Shard().String())
	if !owned {
		return
	}
	hint := bbrowner.NewHint(claim, job, stored)
	if o.acceptHint(hint) {
		o.daemon.metrics.Event("hint:here")
		return
	}
	select {
	case o.hintSlots <- struct{}{}:
		sender := &hintSender{owners: o, hint: hint}
		go sender.run(now)
	default:
		o.daemon.metrics.Event("hint:tooMany")
	}
}

// acceptHint passes a hint to the owner that runs at this entry, and reports
// whether that owner accepted it.
func (o *owners) acceptHint(hint bbrowner.Hint) bool {
	if hint.Job == nil {
		return false
	}
	owner := o.runningOwner(hint.Job.Shard())
	return owner != nil && owner.AcceptHint(hint, time.Now())
}

// hintSender sends one hint to another entry.
type hintSender struct {
	owners *owners
	hint   bbrowner.Hint
}

func (sender *hintSender) run(now time.Time) {
	defer func() { <-sender.owners.hintSlots }()
	d := sender.owners.daemon
	address, ok := sender.owners.remoteAddress(sender.hint.Job.Shard())
	if !ok {
		return
	}
	outcome := "hint:notTaken"
	if d.queries.Hint(context.Background(), address, sender.hint, now) {
		outcome = "hint:taken"
	}
	d.metrics.Event(outcome)
}
