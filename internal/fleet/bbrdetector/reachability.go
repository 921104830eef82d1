package bbrdetector

import "strings"

// Reachability is what an entry says about whether it reaches an owner.
type Reachability int

// Values of Reachability.
const (
	// NoAnswer is no answer: the entry may be gone, or be on the owner's side of a
	// cut.
	NoAnswer Reachability = iota
	// Unreachable is the answer of an entry that does not reach the owner either.
	Unreachable
	// Reachable is the answer of an entry that does.
	Reachable
)

// String returns the opinion as logs have it.
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

// ReachabilityOf returns the opinion of an entry whose ping had the outcome.
func ReachabilityOf(err error) Reachability {
	if err != nil {
		return Unreachable
	}
	return Reachable
}

// join returns the opinions as logs have them.
func join(reports []Reachability) string {
	names := make([]string, len(reports))
	for i, report := range reports {
		names[i] = report.String()
	}
	return strings.Join(names, ",")
}

// UnreachableByMajority tells whether an owner is cut off by the opinions of all entries that
// were asked, the one that asks among them. It is where nobody reaches it and
// more than half say so: the smaller side of a cut never ends a lease of the
// larger one.
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
