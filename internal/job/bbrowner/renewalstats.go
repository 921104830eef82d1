package bbrowner

import (
	"time"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrscheduler"
)

// leaseExtensions measures the time between the answers to renewals that extend the lease
// of an upstream. The zero value is ready to use.
type leaseExtensions struct {
	// answeredAt is when the last renewal that extended the lease was answered; zero if
	// none was since the upstream last had no runs.
	answeredAt time.Time
}

// plan records that a renewal is planned. Without runs there is no lease to extend.
func (e *leaseExtensions) plan(plan bbrscheduler.RenewalPlan) {
	if !plan.HasRuns {
		e.answeredAt = time.Time{}
	}
}

// answered records that a renewal was answered, and returns the time since the answer to
// the last one that extended the lease. It returns false if the renewal extends none, or is
// the first one that does.
func (e *leaseExtensions) answered(plan bbrscheduler.RenewalPlan, now time.Time) (time.Duration, bool) {
	if !plan.HasRuns || plan.LeaseUntil == 0 {
		return 0, false
	}
	previous := e.answeredAt
	e.answeredAt = now
	return now.Sub(previous), !previous.IsZero()
}

// recordRenewal updates the metrics with a renewal that ended at now.
func (r *leaseRenewer) recordRenewal(plan bbrscheduler.RenewalPlan, err error, sentAt, now time.Time) {
	r.owner.Metrics.Renewal(outcomeName(err), now.Sub(sentAt))
	if err != nil {
		return
	}
	if age, ok := r.extensions.answered(plan, now); ok {
		r.owner.Metrics.LeaseExtension(age)
	}
}
