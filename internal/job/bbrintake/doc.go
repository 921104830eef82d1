// Package bbrintake answers callers: it takes jobs, tells their state and
// cancels them. A job is accepted once it is stored, and refused only while it
// is certain that it is not and never will be.
package bbrintake
