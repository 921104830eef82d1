// Package bbrcore is the plug-in with what all other plug-ins share: the
// entry's state, its metrics, the platform and the client to other entries.
package bbrcore
