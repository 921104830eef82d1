package bbrowner

import (
	"time"

	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrclaim"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
	"github.com/bluebellridge/bluebellridge/internal/store/bbrkv"
)

// Hint is a job that an entry has just stored, so that its owner need not wait
// to hear of it from the store.
type Hint struct {
	Job *bbrwork.Job `json:"job"`
	// Stored is the revision of the transaction that stored the job.
	Stored bbrkv.Revision `json:"stored"`
	// Token is that of the owner for whom the hint is.
	Token bbrkv.Revision `json:"token"`
}

// AcceptHint takes a hint. A job that was stored before the owner had read
// everything may have ended under an earlier owner, so such a hint is left out,
// and so is one for another owner.
func (o *Owner) AcceptHint(hint Hint, now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.scheduler == nil || hint.Job == nil || hint.Token != o.Held.Token || hint.Stored <= o.loadedRevision {
		return false
	}
	o.scheduler.AddJob(hint.Job, hint.Stored, nil, now)
	o.requestPlan()
	return true
}

// NewHint returns the hint for the owner of a claim.
func NewHint(claim bbrclaim.Claim, job *bbrwork.Job, stored bbrkv.Revision) Hint {
	return Hint{Job: job, Stored: stored, Token: claim.Revision}
}
