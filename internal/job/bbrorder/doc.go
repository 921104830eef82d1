// Package bbrorder has the calls that an owner of a service makes to upstreams.
package bbrorder
