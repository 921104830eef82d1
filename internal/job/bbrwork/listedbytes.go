package bbrwork

const (
	// recordOverhead is the size of a job's record without its spec and steps, and
	// stepBytes that of a step in it, in bytes.
	recordOverhead = 240
	stepBytes      = 125
	// itemOverhead is what the store adds to a record in a list, in bytes.
	itemOverhead = 110
)

// ListedBytes estimates the bytes that the job's record takes in a list of the store,
// where values are base64-encoded.
func (j *Job) ListedBytes() int {
	return (recordOverhead+len(j.Spec)+stepBytes*len(j.Steps))*4/3 + itemOverhead
}
