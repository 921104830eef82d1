package bbrowner

import (
	"time"

	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrclaim"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrfairshare"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
	"github.com/bluebellridge/bluebellridge/internal/store/bbrkv"
)

// Hint is a job that an entry has just stored. The entry sends it to the job's owner,
// which learns of the job earlier than from the store.
type Hint struct {
	Job *bbrwork.Job `json:"job"`
	// Stored is the revision of the transaction that stored the job.
	Stored bbrkv.Revision `json:"stored"`
	// Token is the fencing token of the owner that the hint is for.
	Token bbrkv.Revision `json:"token"`
}

// AcceptHint adds the hint's job and reports whether it did. It ignores a hint for
// another owner, and one for a job that was stored before the claim: an earlier owner may
// have ended that job.
func (o *Owner) AcceptHint(hint Hint, now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.scheduler == nil || hint.Job == nil || hint.Token != o.Held.Token || hint.Stored <= o.Held.Token {
		return false
	}
	o.scheduler.AddJob(hint.Job, hint.Stored, nil, now)
	o.requestPlan()
	return true
}

// ExpectedWaits returns what is expected for new jobs while the shard's capacity is
// short. An owner that has not loaded all jobs, or whose claim is not confirmed, tells nothing.
func (o *Owner) ExpectedWaits(now time.Time) []bbrfairshare.Wait {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.isLoading() || !o.Confirmed(now) {
		return nil
	}
	return o.scheduler.ExpectedWaits(now)
}

// NewHint returns the hint for the owner of a claim.
func NewHint(claim bbrclaim.Claim, job *bbrwork.Job, stored bbrkv.Revision) Hint {
	return Hint{Job: job, Stored: stored, Token: claim.Revision}
}
