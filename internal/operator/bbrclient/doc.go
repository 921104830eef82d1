// Package bbrclient implements the operators' command-line client. It executes one
// command, or reads commands from a prompt, through the operator API of any entry.
// The exit status depends on the result code.
package bbrclient
