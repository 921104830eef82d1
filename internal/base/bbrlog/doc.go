// Package bbrlog writes the process's log lines to an output without ever blocking
// the goroutines that log: lines that exceed the buffer or the rate limit are dropped
// and counted.
package bbrlog
