// Package bbrfollow keeps the operators' configuration in force. It reads the
// store at a fixed pace, since a watch may miss changes without notice.
package bbrfollow
