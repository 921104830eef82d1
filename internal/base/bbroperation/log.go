package bbroperation

import "slices"

// maxOperations is the maximum number of operations in a log.
const maxOperations = 64

// Log contains the newest operation IDs, oldest first. The zero value is empty.
type Log []string

// Has reports whether the log contains the operation.
func (l Log) Has(operation string) bool { return slices.Contains(l, operation) }

// Record adds the operation and drops the oldest one if the log is full. An empty
// operation is not recorded.
func (l *Log) Record(operation string) {
	if operation == "" {
		return
	}
	*l = append(*l, operation)
	if excess := len(*l) - maxOperations; excess > 0 {
		*l = slices.Delete(*l, 0, excess)
	}
}
