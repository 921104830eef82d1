// Package bbrcode defines the numbered result codes that every answer of the
// system carries. A code tells what is known about the work (ran, not run or
// unknown), which HTTP status goes with it, and whether the caller should
// come back. The table in docs/result-codes.md is held against this package
// by a test.
package bbrcode
