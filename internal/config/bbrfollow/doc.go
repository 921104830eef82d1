// Package bbrfollow follows the operators' configuration in the store. Besides a
// watch, it polls the store, because a watch may miss changes without notice.
package bbrfollow
