// Package bbrretry decides what follows a failed attempt: either a retry within
// the pool's budget, or a final code that claims no more than is known about the
// outcome. It also tracks the health of instances. An instance that fails fast
// appears to be idle and would attract load, so it is ejected for a while. Package
// bbrroute ignores ejections while more than half of a pool is ejected, so that a
// pool that fails as a whole is not ejected as a whole.
package bbrretry
