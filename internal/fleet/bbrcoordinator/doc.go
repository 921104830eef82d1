// Package bbrcoordinator implements the coordinator of an availability zone. The
// entry that holds the zone's coordinator lease adopts instances and marks them as
// lost, according to the platform's list and its own probes, collects
// acknowledgements, and commits the permissions that they allow.
//
// Safety does not depend on the lease, which only avoids duplicate work: every
// write is a compare-and-swap on the version on which the decision is based, and
// every reboot is recorded before it is requested and carries its operation ID.
// Two concurrent coordinators are therefore harmless.
package bbrcoordinator
