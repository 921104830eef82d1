package bbrclaim

// Key prefixes in the store.
const (
	// FleetPrefix is the prefix of all registrations and claims, of the directives, of the
	// division into cells and of the records of rerouted queues.
	FleetPrefix = "bbr/fleet/"
	entryPrefix = FleetPrefix + "entries/"
	claimPrefix = FleetPrefix + "claims/"
	queuePrefix = FleetPrefix + "queues/"
)

// ReservedKey is the key of the list of upstreams that the fleet leader is about
// to take out of service. It is outside of FleetPrefix because it changes often
// and only entries that hold a claim watch it.
const ReservedKey = "bbr/reserved"

// DirectivesKey is the key of the operators' directives for instances. They are
// stored in one value, so that operators who act at the same time cannot both
// spend the same budget.
const DirectivesKey = FleetPrefix + "directives"

// CellsKey is the key of the division of the fleet into cells.
const CellsKey = FleetPrefix + "cells"

// HeldBytesKey is the key of the memory that the jobs of all shards need.
const HeldBytesKey = FleetPrefix + "heldBytes"

// LeadershipName is the name under which the fleet leadership is claimed. No
// shard has this name.
const LeadershipName = "~duty"

// ClaimKey returns the key of the claim of a shard's name or of LeadershipName.
func ClaimKey(name string) string { return claimPrefix + name }
