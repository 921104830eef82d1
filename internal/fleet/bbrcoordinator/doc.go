// Package bbrcoordinator is the maintenance duty of an availability zone. One entry
// holds it by a lease; it adopts and loses instances as the platform's list and
// its own probes say, collects acknowledgements, and commits the permissions
// that they allow. The lease only saves work: every write is a compare-and-swap
// on the version that was judged, and every reboot is recorded before it is
// asked for and carries its operation ID, so two holders do no harm.
package bbrcoordinator
