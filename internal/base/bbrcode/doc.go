// Package bbrcode defines the numbered result codes that every answer of the
// system carries. A code determines what is known about the work (ran, not run or
// unknown), the HTTP status of the answer, and whether the caller should retry. A
// test checks that the table in docs/result-codes.md matches this package.
package bbrcode
