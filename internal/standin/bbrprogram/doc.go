// Package bbrprogram is the command line of the stand-ins.
package bbrprogram
