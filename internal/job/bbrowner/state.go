package bbrowner

import (
	"time"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrscheduler"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// Explain returns why a job is where it is.
func (o *Owner) Explain(id string, now time.Time) (bbrscheduler.Explanation, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.scheduler == nil {
		return bbrscheduler.Explanation{}, false
	}
	return o.scheduler.Explain(id, o.Confirmed(now), now)
}

// State returns the state of a job for its callers. While the claim is not
// confirmed, another owner may have gone on with the job, so only an end is
// told.
func (o *Owner) State(id string, now time.Time) (state bbrwork.State, known bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.scheduler == nil {
		return "", false
	}
	state, known = o.scheduler.State(id)
	if known && !state.Final() && !o.Confirmed(now) {
		return "", false
	}
	return state, known
}
