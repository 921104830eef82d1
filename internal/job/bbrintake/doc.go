// Package bbrintake serves callers: it accepts jobs, returns their state and cancels
// them. A job is accepted once it is stored. It is refused only if it is certain that
// it is not stored and will not be.
package bbrintake
