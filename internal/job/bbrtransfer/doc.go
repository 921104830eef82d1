// Package bbrtransfer decides which waiting jobs go from a shard to the same service's shard
// in another cell, as that has free capacity for them.
package bbrtransfer
