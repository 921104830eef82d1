package bbrintake

const (
	// heldShare is the part of its memory, one in heldShare, that an entry has for the jobs that
	// its owners hold. The rest is for its callers, for lists that it reads, and for the garbage
	// collector, which needs about as much again.
	heldShare  = 3
	bytesPerMB = 1 << 20
)

// MaxHeldBytes returns what an entry with the memory, in megabytes, has for the jobs that its owners
// hold; 0 if its memory is unknown.
func MaxHeldBytes(memoryMB int) int64 { return int64(memoryMB) * bytesPerMB / heldShare }
