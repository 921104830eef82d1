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
func (o Reachability) String() string {
	switch o {
	case Unreachable:
		return "unreached"
	case Reachable:
		return "reached"
	default:
		return "silent"
	}
}

// names returns the opinions as logs have them.
func names(opinions []Reachability) string {
	words := make([]string, len(opinions))
	for i, opinion := range opinions {
		words[i] = opinion.String()
	}
	return strings.Join(words, ",")
}

// UnreachableByMajority tells whether an owner is cut off by the opinions of all entries that
// were asked, the one that asks among them. It is where nobody reaches it and
// more than half say so: the smaller side of a cut never ends a lease of the
// larger one.
func UnreachableByMajority(opinions []Reachability) bool {
	unreached := 0
	for _, opinion := range opinions {
		switch opinion {
		case Reachable:
			return false
		case Unreachable:
			unreached++
		case NoAnswer:
		}
	}
	return 2*unreached > len(opinions)
}
