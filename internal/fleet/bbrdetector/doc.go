// Package bbrdetector finds owners that the other entries cannot reach, and ends
// their leases, so that their services need not wait until the leases run out.
// An owner that was judged wrongly loses nothing but its claims: whoever holds a
// claim is prepared for an earlier holder that still believes in its own.
package bbrdetector
