// Package bbrretry decides what follows a failed attempt: another attempt
// within a budget, or a final code that claims no more than is known. It also
// keeps the health of instances, so that one that fails fast does not draw
// load and a pool that fails whole is not ejected whole.
package bbrretry
