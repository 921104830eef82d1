// Package bbrmaintenance carries out the maintenance waves and the moves of
// instances: it reserves an instance, waits until its service's owner has taken
// the work off it, orders, and waits for the instance's next life. The Planner
// decides without I/O; the Keeper runs it while the entry holds the fleet duty.
//
// The load that it answers is turns of demand: one pool after another asks for
// several times its mean for some seconds. Each decision has a file: how many
// instances a part of a pool wants (sizing.go), which part gives one away
// (giving.go), who gets one first (balance.go; those for work that finds no room
// beside other work come before the rest, up to a few), and the way of an instance that
// is taken (planner.go).
package bbrmaintenance
