package bbrfairshare

import (
	"math"
	"time"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// Wait is what the owner of a shard expects for a new job of an organisation in a queue
// while the shard's capacity is short. Owners tell it to entries as JSON.
type Wait struct {
	Organisation string `json:"organisation"`
	Queue        string `json:"queue"`
	// Expected is the time in which the organisation's fair share works off the jobs of
	// the organisation that come before a new one.
	Expected time.Duration `json:"wait"`
	// Path is the usual critical path of the organisation's jobs in the queue.
	Path time.Duration `json:"path"`
	// Beyond means that the organisation has been beyond its share for some time.
	Beyond bool `json:"beyond,omitempty"`
}

const (
	// waitDivisor divides the expected wait: estimates of run times are off, jobs ahead may
	// fail to be in time and then come later, and the pool may grow.
	waitDivisor = 2
	// maxRetryAfter bounds the time after which a refused caller should retry: the
	// backlog is known for this moment only.
	maxRetryAfter = 30 * time.Second
)

// Refuse decides whether to refuse a new job with the critical path, as its submitter
// estimates it, of a queue whose jobs should be completed within stretch times their
// critical path plus objective. A job is refused if it would complete when it is of no
// value any more and, if the organisation is beyond its share, if it would miss its
// objective. retryAfter is when the backlog will be worked off, in whole seconds.
//
// Estimates of single jobs are far off. The longer of the estimated and the usual path is
// taken, which allows the longer wait.
func (w Wait) Refuse(path time.Duration, stretch float64, objective time.Duration) (retryAfter time.Duration, refused bool) {
	path = max(path, w.Path)
	allowed := stretch*float64(path) + float64(objective)
	if !w.Beyond {
		allowed *= bbrwork.ValuableFactor
	}
	if float64(w.Expected)/waitDivisor+float64(path) <= allowed {
		return 0, false
	}
	seconds := math.Ceil(min(w.Expected, maxRetryAfter).Seconds())
	return time.Duration(max(1, seconds)) * time.Second, true
}
