package bbrclaim

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"maps"
	"slices"
	"strings"

	"k8s.io/klog/v2"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
	"github.com/bluebellridge/bluebellridge/internal/store/bbrkv"
)

// A job stays with the service that its queue had when it was accepted. The owner of a shard
// with open jobs of a queue that the configuration routes to another service, or does not have,
// stores a record of it, so that queries about the queue reach the shard, and the shard gets an
// owner, also at entries that never knew the earlier configuration. All entries follow these
// records; there are none unless a queue was rerouted while it had open jobs.

// reroutedQueue is the value of such a record. The key has a digest of the queue's name, as
// names may be longer than keys.
type reroutedQueue struct {
	Queue string `json:"queue"`
}

// queueDigestBytes is the length of the part of the digest in the key.
const queueDigestBytes = 12

// ReroutedQueueKey returns the key of the record that the shard has open jobs of a queue which is
// routed elsewhere.
func ReroutedQueueKey(queue string, shard bbrwork.Shard) string {
	digest := sha256.Sum256([]byte(queue))
	return queuePrefix + hex.EncodeToString(digest[:queueDigestBytes]) + "/" + shard.String()
}

// ReroutedQueueValue returns the value of the record.
func ReroutedQueueValue(queue string) []byte {
	value, err := json.Marshal(reroutedQueue{Queue: queue})
	if err != nil {
		panic(err) // Unreachable: a string can always be encoded.
	}
	return value
}

// applyQueue applies an item of which key is the part after queuePrefix. The caller holds the lock.
func (d *Directory) applyQueue(key string, item bbrkv.Item) {
	_, name, _ := strings.Cut(key, "/")
	shard, err := bbrwork.ParseShard(name)
	var record reroutedQueue
	if err == nil && !item.Deleted {
		err = json.Unmarshal(item.Value, &record)
	}
	if err != nil {
		klog.ErrorS(err, "Record of a rerouted queue not decodable", "key", item.Key, "revision", item.Revision)
	}
	if err != nil || item.Deleted {
		delete(d.rerouted, item.Key)
		return
	}
	if d.rerouted == nil {
		d.rerouted = make(map[string]queueInShard)
	}
	d.rerouted[item.Key] = queueInShard{queue: record.Queue, shard: shard}
}

// queueInShard is a queue of which a shard has open jobs.
type queueInShard struct {
	queue string
	shard bbrwork.Shard
}

// ReroutedServices returns the services whose shards have open jobs of the queue although it is
// routed to another one, sorted.
func (d *Directory) ReroutedServices(queue string) []string {
	return d.reroutedServices(func(r queueInShard) bool { return r.queue == queue })
}

// ServicesOfReroutedQueues returns the services whose shards have open jobs of any rerouted queue, sorted.
func (d *Directory) ServicesOfReroutedQueues() []string {
	return d.reroutedServices(func(queueInShard) bool { return true })
}

func (d *Directory) reroutedServices(selects func(r queueInShard) bool) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	services := make(map[string]bool)
	for _, r := range d.rerouted {
		if selects(r) {
			services[r.shard.Service] = true
		}
	}
	return slices.Sorted(maps.Keys(services))
}

// ReroutedQueues returns the queues that records name for the shard, sorted.
func (d *Directory) ReroutedQueues(shard bbrwork.Shard) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var queues []string
	for _, r := range d.rerouted {
		if r.shard == shard {
			queues = append(queues, r.queue)
		}
	}
	slices.Sort(queues)
	return queues
}
