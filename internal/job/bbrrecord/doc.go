// Package bbrrecord defines the keys and values of the records about jobs in the store.
package bbrrecord
