// Package bbrlink implements the calls between entries over drpc: confirmations of
// registrations, acknowledgements of views, documents, forwarded requests and
// operators' commands.
package bbrlink
