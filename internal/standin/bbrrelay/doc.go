// Package bbrrelay is a stand-in for the network between two processes, for
// tests only: it passes TCP connections on and can forget those that are open,
// so that they go silent while new ones work.
package bbrrelay
