// Package bbrclient is the operators' command line: one command, or a prompt,
// over the operators' API of any entry. Its exit status follows the result
// code.
package bbrclient
