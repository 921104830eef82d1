package bbrserve

import (
	"context"
	"time"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrowner"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
	"github.com/bluebellridge/bluebellridge/internal/store/bbrkv"
)

// maxHintsInFlight bounds the hints on their way; the owner hears of other jobs from the
// store.
const maxHintsInFlight = 16

// notifyOwner tells the owner of a job that this entry has stored. It does not wait.
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

// acceptHint takes a hint for an owner of this entry.
func (o *owners) acceptHint(hint bbrowner.Hint) bool {
	if hint.Job == nil {
		return false
	}
	owner := o.runningOwner(hint.Job.Shard())
	return owner != nil && owner.AcceptHint(hint, time.Now())
}

// hintSender carries one hint to another entry.
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
