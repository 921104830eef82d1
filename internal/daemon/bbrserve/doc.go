// Package bbrserve is the plug-in that runs jobs on the platform's fleet. It
// connects the intake of jobs, the claims and the owners of shards to the
// platform's protocol.
package bbrserve
