package bbrowner

import (
	"time"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrscheduler"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// Explain returns why a job is in its state. It returns false if the job is
// unknown or not loaded yet.
func (o *Owner) Explain(id string, now time.Time) (bbrscheduler.Explanation, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.scheduler == nil {
		return bbrscheduler.Explanation{}, false
	}
	return o.scheduler.Explain(id, o.Confirmed(now), now)
}

// Place returns where a job that is not stored would start now. It returns false if the
// shard cannot run it or not all jobs are loaded yet.
func (o *Owner) Place(job *bbrwork.Job, now time.Time) (bbrscheduler.Placement, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.isLoading() {
		return bbrscheduler.Placement{}, false
	}
	return o.scheduler.Place(job, o.Confirmed(now), now)
}

// State returns the state of a job for callers, and whether it is known. While the
// claim is not confirmed, another owner may have continued the job, so that only a
// final state counts as known.
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
