// Package bbrlog sends the process's log lines to standard output without ever
// blocking their writer: lines that find no room are dropped and counted.
package bbrlog
