// Package bbrpeerproto holds the messages between entries and their generated
// code.
package bbrpeerproto

//go:generate protoc --go_out=. --go_opt=paths=source_relative --go-drpc_out=. --go-drpc_opt=paths=source_relative peer.proto
