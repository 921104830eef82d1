package bbrwork

// Resources is an amount of an upstream's capacity: all of it, what is free, or
// what a work unit needs.
type Resources struct {
	// MilliCPU is in thousandths of a core.
	MilliCPU     int `json:"milliCPU,omitempty"`
	MemoryMB     int `json:"memoryMB,omitempty"`
	Accelerators int `json:"accelerators,omitempty"`
}

// Fits reports whether r does not exceed available in any dimension.
func (r Resources) Fits(available Resources) bool {
	return r.MilliCPU <= available.MilliCPU && r.MemoryMB <= available.MemoryMB && r.Accelerators <= available.Accelerators
}

// Plus returns the sum of r and other.
func (r Resources) Plus(other Resources) Resources {
	return Resources{r.MilliCPU + other.MilliCPU, r.MemoryMB + other.MemoryMB, r.Accelerators + other.Accelerators}
}

// Minus returns r less other; a dimension of the result may be negative.
func (r Resources) Minus(other Resources) Resources {
	return Resources{r.MilliCPU - other.MilliCPU, r.MemoryMB - other.MemoryMB, r.Accelerators - other.Accelerators}
}

// Min returns the smaller amount in each dimension.
func (r Resources) Min(other Resources) Resources {
	return Resources{min(r.MilliCPU, other.MilliCPU), min(r.MemoryMB, other.MemoryMB), min(r.Accelerators, other.Accelerators)}
}

// Max returns the larger amount in each dimension.
func (r Resources) Max(other Resources) Resources {
	return Resources{max(r.MilliCPU, other.MilliCPU), max(r.MemoryMB, other.MemoryMB), max(r.Accelerators, other.Accelerators)}
}

// DividedBy returns r divided by a positive number.
func (r Resources) DividedBy(n int) Resources {
	return Resources{r.MilliCPU / n, r.MemoryMB / n, r.Accelerators / n}
}

// Times returns n times r.
func (r Resources) Times(n int) Resources {
	return Resources{r.MilliCPU * n, r.MemoryMB * n, r.Accelerators * n}
}

// FitCount returns how many times r fits into available, at most limit.
func (r Resources) FitCount(available Resources, limit int) int {
	limit = min(limit, fitCountOf(r.MilliCPU, available.MilliCPU, limit))
	limit = min(limit, fitCountOf(r.MemoryMB, available.MemoryMB, limit))
	return max(0, min(limit, fitCountOf(r.Accelerators, available.Accelerators, limit)))
}

// fitCountOf is FitCount for one dimension. A need of 0 always fits, unless more
// than the capacity is in use already.
func fitCountOf(need, available, limit int) int {
	switch {
	case available < 0:
		return 0
	case need == 0:
		return limit
	default:
		return available / need
	}
}
