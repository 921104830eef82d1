// Package bbrkernel starts and stops the parts of an entry daemon. Each part is
// a plug-in that registers itself when its package is imported; the kernel
// orders them by stage, starts them in that order and stops them in reverse.
package bbrkernel
