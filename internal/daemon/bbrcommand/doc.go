// Package bbrcommand implements the command line of the entry daemon.
package bbrcommand
