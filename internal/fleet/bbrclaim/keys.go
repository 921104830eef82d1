package bbrclaim

// Prefixes of the store's keys.
const (
	// FleetPrefix is before all registrations and claims.
	FleetPrefix = "bbr/fleet/"
	entryPrefix = FleetPrefix + "entries/"
	claimPrefix = FleetPrefix + "claims/"
)

// ReservedKey holds the upstreams that the holder of the fleet duty is about to
// take away. It changes often, and only holders of a claim follow it.
const ReservedKey = "bbr/reserved"

// DirectivesKey holds what operators ask of instances, in one value, so that
// operators who act at the same time cannot both use up the same budget.
const DirectivesKey = FleetPrefix + "directives"

// CellsKey holds the division of the fleet into cells.
const CellsKey = FleetPrefix + "cells"

// LeadershipName is the name under which the fleet duty is claimed; no shard has it.
const LeadershipName = "~duty"

// ClaimKey returns the key of the claim of a shard's name, or of LeadershipName.
func ClaimKey(name string) string { return claimPrefix + name }
