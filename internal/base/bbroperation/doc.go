// Package bbroperation records which operations have been applied to a document, so
// that a repeated operation has no further effect and the result of one whose response
// was lost can be determined.
package bbroperation
