package bbrquota

import "github.com/bluebellridge/bluebellridge/internal/job/bbrwork"

// bounded reports whether the cap bounds any dimension.
func bounded(limit bbrwork.Resources) bool { return limit != bbrwork.Resources{} }

// within reports whether the use does not exceed the limit in any dimension that the cap
// bounds.
func within(use, limit, organisationCap bbrwork.Resources) bool {
	fits := func(use, limit, bound int) bool { return bound == 0 || use <= limit }
	return fits(use.MilliCPU, limit.MilliCPU, organisationCap.MilliCPU) &&
		fits(use.MemoryMB, limit.MemoryMB, organisationCap.MemoryMB) &&
		fits(use.Accelerators, limit.Accelerators, organisationCap.Accelerators)
}
