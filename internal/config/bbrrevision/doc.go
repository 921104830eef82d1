// Package bbrrevision defines the operators' shared configuration: a single
// revisioned value that is validated and replaced as a whole and never replaced
// by an older revision.
package bbrrevision
