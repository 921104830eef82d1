// Package bbrorder defines the calls that the owner of a shard makes to upstreams.
package bbrorder
