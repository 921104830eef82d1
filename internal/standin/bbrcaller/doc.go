// Package bbrcaller is a stand-in for callers, for development and tests only. It
// sends a bounded load of requests, checks that each response is complete and belongs
// to its request, and counts the reported outcomes.
package bbrcaller
