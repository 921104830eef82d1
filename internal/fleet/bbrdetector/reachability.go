package bbrdetector

import "strings"

// Reachability is the report of an entry on whether it reaches an owner.
type Reachability int

// Reports on an owner.
const (
	// NoAnswer means that the queried entry did not answer: it may have failed, or
	// be on the owner's side of a network partition.
	NoAnswer Reachability = iota
	// Unreachable means that the queried entry does not reach the owner.
	Unreachable
	// Reachable means that the queried entry reaches the owner.
	Reachable
)

// String returns the report's name in logs.
func (r Reachability) String() string {
	switch r {
	case Unreachable:
		return "unreached"
	case Reachable:
		return "reached"
	default:
		return "silent"
	}
}

// ReachabilityOf returns the report of an entry whose ping returned the error.
func ReachabilityOf(err error) Reachability {
	if err != nil {
		return Unreachable
	}
	return Reachable
}

// join returns the reports' names in logs, separated by commas.
func join(reports []Reachability) string {
	names := make([]string, len(reports))
	for i, report := range reports {
		names[i] = report.String()
	}
	return strings.Join(names, ",")
}

// UnreachableByMajority reports whether an owner counts as unreachable, given the
// reports of the queried entries and of the querying entry itself: no entry reaches
// it, and more than half of them report so. The smaller side of a network partition
// thus never revokes a lease of the larger one.
func UnreachableByMajority(reports []Reachability) bool {
	unreached := 0
	for _, report := range reports {
		switch report {
		case Reachable:
			return false
		case Unreachable:
			unreached++
		case NoAnswer:
		}
	}
	return 2*unreached > len(reports)
}
