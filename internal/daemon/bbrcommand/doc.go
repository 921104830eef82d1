// Package bbrcommand is the command line of the entry daemon.
package bbrcommand
