// Package bbrabuse tests that entries withstand clients that misbehave. The tests run an
// entry and a stand-in fleet as processes on loopback addresses, send requests of many
// misbehaving clients at the same time, and check that the entry's process keeps running,
// stays within bounds of memory and open descriptors, and then accepts and runs an
// ordinary job. They check no times and no fraction of requests served. They have to run
// apart from other load.
package bbrabuse
