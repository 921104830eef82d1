// Package bbrcaller is a stand-in for callers: a bounded load that checks each
// answer for being whole, its own, and truthful. For development and tests
// only.
package bbrcaller
