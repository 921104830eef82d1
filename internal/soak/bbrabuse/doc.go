// Package bbrabuse tests that entries withstand clients that misbehave. The tests run an
// entry and a stand-in fleet as processes on loopback addresses, let a crowd of clients
// misbehave, and check that the entry lives, keeps within bounds of memory and open
// descriptors, and then accepts and runs an ordinary job. They check no times and no
// fraction of requests served. They have to run apart from other load.
package bbrabuse
