package bbrclaim

const (
	// shardMilliCPU and shardMbps are the processor time, in thousandths of a core, and the
	// link, in megabits per second, that the owner of a full-size shard needs. Half of the
	// link is for the entry's callers.
	shardMilliCPU = 400
	shardMbps     = 16
)

// carryingCapacity returns what an entry can carry, in thousandths of a core: its processor
// time, or what its link has for shards if that is less. A link of 0 is unknown.
func carryingCapacity(milliCPU, bandwidthMbps int) int {
	if bandwidthMbps > 0 {
		milliCPU = min(milliCPU, bandwidthMbps*shardMilliCPU/shardMbps)
	}
	return max(1, milliCPU)
}
