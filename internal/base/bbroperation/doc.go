// Package bbroperation remembers which operations a document has taken in, so
// that repeating one has no further effect and a lost answer can be settled.
package bbroperation
