// Package bbrrecord has the keys and values under which jobs lie in the store.
package bbrrecord
