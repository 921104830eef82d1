package bbroperation

import "slices"

// maxOperations is how many operations a log remembers.
const maxOperations = 64

// Log holds the newest operation IDs, oldest first. The zero value is empty.
type Log []string

// Has reports whether the log remembers the operation.
func (l Log) Has(operation string) bool { return slices.Contains(l, operation) }

// Record adds an operation and forgets the oldest one if need be. The empty
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
