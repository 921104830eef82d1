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

// Table is what a request needs to know, derived from one view and one
// configuration.
type Table struct {
	// ViewVersion and Revision are what the table was built from; 0 stands
	// for not known yet.
	ViewVersion uint64
	Revision    uint64
	Queues      map[string]*Queue
	Pools       map[string]*Pool
	Teams       map[string]*Team
}

// Queue is a queue with its pool.
type Queue struct {
	Name   string
	Config bbrrevision.Queue
	Pool   *Pool
	State  *bbradmission.Queue
}

// Team is a team with its requests in progress.
type Team struct {
	Name  string
	Quota int
	State *bbradmission.Team
}

// Pool is a pool's instances in this zone.
type Pool struct {
	Name        string
	Config      bbrrevision.Pool
	Targets     []*Target
	WaitQueue   *bbrqueue.WaitQueue[*Target]
	RetryBudget *bbrretry.Budget
	// LargestMemoryBytes is that of the largest instance, whatever its state;
	// 0 means that the pool has none in this zone.
	LargestMemoryBytes int64
}

// Target is an instance that may be sent to.
type Target struct {
	ID      string
	Rack    string
	Address netip.AddrPort
	Slot    *bbrslot.Slot
	Health  *bbrretry.Health
}

// Registry keeps what outlives a table: the slots, queues and budgets. It is
// used by one goroutine at a time. The zero value is empty.
type Registry struct {
	slots        Slots
	health       map[string]*bbrretry.Health
	queues       map[string]*bbradmission.Queue
	teams        map[string]*bbradmission.Team
	waitQueues   map[string]*bbrqueue.WaitQueue[*Target]
	retryBudgets map[string]*bbrretry.Budget
}

func getOrCreate[T any](m *map[string]*T, name string) *T {
	if *m == nil {
		*m = make(map[string]*T)
	}
	if (*m)[name] == nil {
		(*m)[name] = new(T)
	}
	return (*m)[name]
}

// Build lowers and raises the slots' limits to the view and returns the table.
// From its return on, no request enters an instance against the view.
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

// Acknowledge returns what is still in flight against the view: by instance
// where it may not be used, and in sum where the share is exceeded.
func (r *Registry) Acknowledge() (closedInFlight map[string]int, excess int) {
	return r.slots.acknowledge()
}

// InFlight returns how many requests hold a slot.
func (r *Registry) InFlight() int { return r.slots.inFlight() }
