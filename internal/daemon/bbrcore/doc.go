// Package bbrcore is the plug-in that provides what the other plug-ins share: the
// entry's state, its metrics, the platform's client and the client to other entries.
package bbrcore
