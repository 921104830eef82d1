package bbrwork

// Memory that an owner needs, in bytes. It includes what the allocator rounds up, and what a planning
// round needs for each step. Runs are not included: there are no more than the upstreams have room
// for.
const (
	// heldJobBytes is that of a job without its specification and steps, and heldSpecBytes that of
	// the description of a step.
	heldJobBytes, heldSpecBytes = 900, 180
	// heldOccurrenceBytes, heldStepBytes and heldUnitBytes are that of an occurrence, of a step
	// in it, and of a work unit.
	heldOccurrenceBytes, heldStepBytes, heldUnitBytes = 100, 700, 260
)

// OccurrenceBytes estimates the memory that an owner needs for an occurrence of the job while it
// is due and not done.
func (j *Job) OccurrenceBytes() int {
	bytes := heldOccurrenceBytes
	for i := range j.Steps {
		bytes += heldStepBytes + heldUnitBytes*j.Steps[i].Count
	}
	return bytes
}

// HeldBytes estimates the least memory that an owner needs for the job. Of a job that repeats, it
// holds one occurrence at a time if there is no room for more; those with long-running work do not
// end.
func (j *Job) HeldBytes() int {
	occurrences := 1
	if j.LongRunning() {
		occurrences = j.Occurrences()
	}
	return heldJobBytes + len(j.Spec) + heldSpecBytes*len(j.Steps) + occurrences*j.OccurrenceBytes()
}
