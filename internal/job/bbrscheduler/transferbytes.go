package bbrscheduler

// TransferBytes estimates the bytes that a successor has to read of the jobs whose end is
// not stored.
func (sched *Scheduler) TransferBytes() int {
	total := 0
	for _, j := range sched.jobs {
		total += j.TransferBytes()
	}
	return total
}
