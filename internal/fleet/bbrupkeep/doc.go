// Package bbrupkeep carries out the maintenance waves and the moves of
// instances: it reserves an instance, waits until its service's owner has taken
// the work off it, orders, and waits for the instance's next life. The Planner
// decides without I/O; the Keeper runs it while the entry holds the fleet duty.
package bbrupkeep
