// Package bbrgateway accepts requests from callers over HTTP and from other
// entries, sends them to upstreams and returns the answers. It combines the
// decisions of the other request packages and is the only one of them that
// communicates with callers.
package bbrgateway
