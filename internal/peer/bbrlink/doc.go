// Package bbrlink carries the calls between entries over drpc: confirmations,
// acknowledgements, documents, forwarded requests and commands.
package bbrlink
