// Package bbrserve is the plug-in that runs jobs on the platform's fleet: it
// connects the intake, the claims and the owners to the platform's adapter.
package bbrserve
