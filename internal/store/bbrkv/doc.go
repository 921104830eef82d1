// Package bbrkv defines the interface of the platform's key-value store and
// follows the items under a prefix.
package bbrkv
