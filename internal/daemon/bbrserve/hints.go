package bbrserve

import (
	"context"
	"time"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrfairshare"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrowner"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
	"github.com/bluebellridge/bluebellridge/internal/peer/bbrinquiry"
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
	sent := time.Now()
	if answer := o.acceptHint(hint); answer.Accepted {
		o.recordAnswer(hint, answer, sent)
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

// acceptHint passes a hint to the owner that runs at this entry, and returns that owner's
// answer.
func (o *owners) acceptHint(hint bbrowner.Hint) bbrinquiry.HintResponse {
	if hint.Job == nil {
		return bbrinquiry.HintResponse{}
	}
	owner := o.runningOwner(hint.Job.Shard())
	now := time.Now()
	if owner == nil || !owner.AcceptHint(hint, now) {
		return bbrinquiry.HintResponse{}
	}
	backlog, loaded := owner.BacklogBytes(now)
	return bbrinquiry.HintResponse{Accepted: true, Waits: owner.ExpectedWaits(now), BacklogBytes: backlog, Loading: !loaded}
}

// recordAnswer records what the owner that accepted the hint tells about the shard, as of
// the time at which the hint was sent.
func (o *owners) recordAnswer(hint bbrowner.Hint, answer bbrinquiry.HintResponse, sent time.Time) {
	o.backlogs.Record(hint.Job.Shard(), answer.BacklogBytes, answer.Loading, sent)
	if o.daemon.settings.Jobs.RefuseBeyondShare {
		o.waits.Record(hint.Job.Shard(), hint.Token, answer.Waits, sent)
	}
}

// expectedWait returns what the present owner of the shard expects for a new job; false if
// that is not known.
func (o *owners) expectedWait(shard bbrwork.Shard, organisation, queue string, now time.Time) (bbrfairshare.Wait, bool) {
	claim, owned := o.daemon.directory.Owner(shard.String())
	if !owned {
		return bbrfairshare.Wait{}, false
	}
	return o.waits.Get(shard, claim.Revision, organisation, queue, now)
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
	outcome, sent := "hint:notTaken", time.Now()
	if answer, answered := d.queries.Hint(context.Background(), address, sender.hint, now); answered && answer.Accepted {
		sender.owners.recordAnswer(sender.hint, answer, sent)
		outcome = "hint:taken"
	}
	d.metrics.Event(outcome)
}
