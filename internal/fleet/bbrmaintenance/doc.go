// Package bbrmaintenance carries out maintenance waves and moves instances between
// pools. For each it reserves the instance, waits until the owner of its service has
// drained it, sends the order to the platform, and waits for the instance's next
// incarnation. The Planner decides without I/O; the Controller runs it while the entry
// is the fleet leader.
//
// It is designed for bursts of demand: one pool after another asks for several times
// its mean for some seconds. Each decision has a file: the target size of a partition
// (sizing.go), which partition releases an instance (donors.go), which one receives it
// first (balance.go; up to a few instances for wide work units come before those for
// other work), and the steps of a move or maintenance (planner.go).
package bbrmaintenance
