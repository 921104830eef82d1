// Package bbrcell divides the fleet into cells, so that the owner of a service's
// part in one cell has a bounded number of upstreams, however large the fleet
// is. Instances move between the pools of their cell only.
package bbrcell
