package bbrowner

import (
	"time"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// State returns the state of a job for its callers. While the claim is not
// confirmed, another owner may have gone on with the job, so only an end is
// told.
func (o *Owner) State(id string, now time.Time) (state bbrwork.State, known bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.ledger == nil {
		return "", false
	}
	state, known = o.ledger.State(id)
	if known && !state.Final() && !o.Confirmed(now) {
		return "", false
	}
	return state, known
}
