package bbrdetector

import "strings"

// Opinion is what an entry says about whether it reaches an owner.
type Opinion int

// Opinions.
const (
	// Silent is no answer: the entry may be gone, or be on the owner's side of a
	// cut.
	Silent Opinion = iota
	// Unreached is the answer of an entry that does not reach the owner either.
	Unreached
	// Reached is the answer of an entry that does.
	Reached
)

// String returns the opinion as logs have it.
func (o Opinion) String() string {
	switch o {
	case Unreached:
		return "unreached"
	case Reached:
		return "reached"
	default:
		return "silent"
	}
}

// names returns the opinions as logs have them.
func names(opinions []Opinion) string {
	words := make([]string, len(opinions))
	for i, opinion := range opinions {
		words[i] = opinion.String()
	}
	return strings.Join(words, ",")
}

// CutOff tells whether an owner is cut off by the opinions of all entries that
// were asked, the one that asks among them. It is where nobody reaches it and
// more than half say so: the smaller side of a cut never ends a lease of the
// larger one.
func CutOff(opinions []Opinion) bool {
	unreached := 0
	for _, opinion := range opinions {
		switch opinion {
		case Reached:
			return false
		case Unreached:
			unreached++
		case Silent:
		}
	}
	return 2*unreached > len(opinions)
}
