// Package bbrlimit bounds what clients of the process's listeners can make it hold: the
// bytes of bodies in flight, connections, header fields, and the time for which a
// connection makes no progress. All listeners of a process share one Limits.
package bbrlimit
