// Package bbrquota divides the cap of an organisation among the shards that run its
// jobs, so that each shard's owner can start work on its own without exceeding the cap
// over the whole fleet.
//
// The owner of a shard starts work only within the shard's share of the cap. The shares
// of an organisation stand in one record of the store. An owner changes only its own
// shard's share, by a transaction on the record's revision. A share grows only on the
// further condition that the owner's configuration is the newest, and only as far as all
// shares together stay within the cap of that configuration.
//
// When the operators lower a cap, the shares may exceed it until enough work has ended.
// An owner that applies the lower cap starts nothing until a later read of the record has
// shown that the shares are within it. Running work is not stopped.
//
// The package makes decisions; it does no I/O.
package bbrquota
