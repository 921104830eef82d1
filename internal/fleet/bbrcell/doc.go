// Package bbrcell divides the fleet into cells, so that the owner of a shard, a service in
// one cell, has a bounded number of upstreams however large the fleet is. Instances move
// only between pools of their own cell.
package bbrcell
