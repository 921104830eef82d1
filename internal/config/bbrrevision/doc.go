// Package bbrrevision is the operators' shared configuration: one revisioned
// value that is checked whole, replaced whole, and never goes back.
package bbrrevision
