package bbrscheduler

// ListedBytes estimates the bytes that a successor has to read of the jobs whose end is
// not stored.
func (sched *Scheduler) ListedBytes() int {
	total := 0
	for _, j := range sched.jobs {
		total += j.ListedBytes()
	}
	return total
}
