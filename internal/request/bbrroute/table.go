package bbrroute

import (
	"maps"
	"net/netip"
	"slices"

	"github.com/bluebellridge/bluebellridge/internal/config/bbrrevision"
	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrview"
	"github.com/bluebellridge/bluebellridge/internal/request/bbradmission"
	"github.com/bluebellridge/bluebellridge/internal/request/bbrqueue"
	"github.com/bluebellridge/bluebellridge/internal/request/bbrretry"
	"github.com/bluebellridge/bluebellridge/internal/request/bbrslot"
)

// Table is the routing table: what a request needs of one view and one
// configuration revision.
type Table struct {
	// ViewVersion and Revision are the versions that the table was built from;
	// 0 means that none is known yet.
	ViewVersion uint64
	Revision    uint64
	Queues      map[string]*Queue
	Pools       map[string]*Pool
	Teams       map[string]*Team
}

// Queue is a configured queue with its pool and its state at this entry.
type Queue struct {
	Name   string
	Config bbrrevision.Queue
	Pool   *Pool
	State  *bbradmission.Queue
}

// Team is a configured team with its state at this entry. Quota is its largest
// number of requests in progress.
type Team struct {
	Name  string
	Quota int
	State *bbradmission.Team
}

// Pool is a configured pool with its serving instances in this zone.
type Pool struct {
	Name        string
	Config      bbrrevision.Pool
	Targets     []*Target
	WaitQueue   *bbrqueue.WaitQueue[*Target]
	RetryBudget *bbrretry.Budget
	// LargestMemoryBytes is the memory of the pool's largest instance in this
	// zone, whatever its state; 0 means that the pool has no instance here.
	LargestMemoryBytes int64
}

// Target is an instance that requests may be sent to.
type Target struct {
	ID      string
	Rack    string
	Address netip.AddrPort
	Slot    *bbrslot.Slot
	Health  *bbrretry.Health
}

// Registry contains the state that outlives a table: the slots, the health of
// instances, the state of queues and teams, and the retry budgets. It is not
// safe for concurrent use. The zero value is empty.
type Registry struct {
	slots        Slots
	health       map[string]*bbrretry.Health
	queues       map[string]*bbradmission.Queue
	teams        map[string]*bbradmission.Team
	waitQueues   map[string]*bbrqueue.WaitQueue[*Target]
	retryBudgets map[string]*bbrretry.Budget
}

// getOrCreate returns the entry of the map under name, which it creates on
// first use.
func getOrCreate[T any](m *map[string]*T, name string) *T {
	if *m == nil {
		*m = make(map[string]*T)
	}
	if (*m)[name] == nil {
		(*m)[name] = new(T)
	}
	return (*m)[name]
}

// Build sets the slots' limits according to the view and returns the table.
// Once it has returned, no request is admitted to an instance that the view
// doesn't allow.
func (r *Registry) Build(view *bbrview.View, version uint64, revision *bbrrevision.Revision, self netip.AddrPort) *Table {
	table := &Table{
		ViewVersion: version,
		Revision:    revision.Number,
		Queues:      make(map[string]*Queue),
		Pools:       make(map[string]*Pool),
		Teams:       make(map[string]*Team),
	}
	r.slots.apply(view, self)
	for name, config := range revision.Config.Pools {
		table.Pools[name] = r.pool(name, config)
	}
	for _, id := range slices.Sorted(maps.Keys(view.Instances)) {
		r.addTarget(table, view.Instances[id])
	}
	for name, config := range revision.Config.Queues {
		table.Queues[name] = &Queue{Name: name, Config: config, Pool: table.Pools[config.Pool], State: getOrCreate(&r.queues, name)}
	}
	for name, config := range revision.Config.Teams {
		table.Teams[name] = &Team{Name: name, Quota: config.Quota, State: getOrCreate(&r.teams, name)}
	}
	return table
}

func (r *Registry) pool(name string, config bbrrevision.Pool) *Pool {
	return &Pool{Name: name, Config: config, WaitQueue: getOrCreate(&r.waitQueues, name), RetryBudget: getOrCreate(&r.retryBudgets, name)}
}

// addTarget adds a serving instance to the targets of its pool.
func (r *Registry) addTarget(table *Table, instance bbrview.Instance) {
	pool, ok := table.Pools[instance.Pool]
	if !ok {
		return
	}
	pool.LargestMemoryBytes = max(pool.LargestMemoryBytes, instance.MemoryBytes)
	if instance.State != bbrview.Serving {
		return
	}
	pool.Targets = append(pool.Targets, &Target{
		ID:      instance.ID,
		Rack:    instance.Rack,
		Address: instance.Address,
		Slot:    r.slots.openSlot(instance.ID),
		Health:  getOrCreate(&r.health, instance.ID),
	})
}

// Acknowledge returns the requests that are still in flight against the view:
// by instance for instances that the entry may no longer use, and in total for
// those that exceed the entry's shares.
func (r *Registry) Acknowledge() (closedInFlight map[string]int, excess int) {
	return r.slots.acknowledge()
}

// InFlight returns how many requests occupy a slot.
func (r *Registry) InFlight() int { return r.slots.inFlight() }
