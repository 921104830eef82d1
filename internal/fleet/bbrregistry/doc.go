// Package bbrregistry keeps the upstreams that the store lists.
package bbrregistry
