package bbrowner

import (
	"maps"
	"slices"

	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrclaim"
	"github.com/bluebellridge/bluebellridge/internal/store/bbrkv"
)

// maxRerouteChanges bounds the records of rerouted queues in a transaction. Others follow with the
// next one.
const maxRerouteChanges = 4

// rerouteChanges are the records of rerouted queues to store and to remove.
type rerouteChanges struct{ added, removed []string }

func (c rerouteChanges) count() int { return len(c.added) + len(c.removed) }

// reroutedQueues returns those of the queues that the configuration routes to another service than
// the shard's, or does not have, sorted.
func (o *Owner) reroutedQueues(open map[string]bool) []string {
	config := o.Config()
	if config == nil {
		return nil
	}
	var rerouted []string
	for _, name := range slices.Sorted(maps.Keys(open)) {
		if queue := config.Queues[name]; queue == nil || queue.Service != o.Shard.Service {
			rerouted = append(rerouted, name)
		}
	}
	return rerouted
}

// rerouteChanges returns how the stored records differ from those that the open queues need. The stored records are those that are followed and those that this owner has stored: its
// own may be followed late, and those of earlier owners are followed only.
func (o *Owner) rerouteChanges(open map[string]bool) rerouteChanges {
	if o.ReroutedQueues == nil {
		return rerouteChanges{}
	}
	var changes rerouteChanges
	rerouted := o.reroutedQueues(open)
	known := slices.AppendSeq(o.ReroutedQueues(o.Shard), maps.Keys(o.commits.rerouted))
	slices.Sort(known)
	for _, queue := range rerouted {
		if !o.commits.rerouted[queue] && changes.count() < maxRerouteChanges {
			changes.added = append(changes.added, queue)
		}
	}
	for _, queue := range slices.Compact(known) {
		if !slices.Contains(rerouted, queue) && changes.count() < maxRerouteChanges {
			changes.removed = append(changes.removed, queue)
		}
	}
	return changes
}

// addTo adds the changes to a transaction.
func (c rerouteChanges) addTo(transaction *bbrkv.Transaction, o *Owner) {
	for _, queue := range c.added {
		transaction.Puts = append(transaction.Puts, bbrkv.Put{Key: bbrclaim.ReroutedQueueKey(queue, o.Shard), Value: bbrclaim.ReroutedQueueValue(queue)})
	}
	for _, queue := range c.removed {
		transaction.Removals = append(transaction.Removals, bbrclaim.ReroutedQueueKey(queue, o.Shard))
	}
}

// stored records that the changes are stored.
func (c rerouteChanges) stored(commits *commitState) {
	if commits.rerouted == nil {
		commits.rerouted = make(map[string]bool)
	}
	for _, queue := range c.added {
		commits.rerouted[queue] = true
	}
	for _, queue := range c.removed {
		delete(commits.rerouted, queue)
	}
}
