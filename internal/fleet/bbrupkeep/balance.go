package bbrupkeep

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrmachine"
)

// Pool is what a pool asks for.
type Pool struct {
	Name string
	// Spare means that the pool's instances are off.
	Spare bool
	// MilliCPU is the room that it needs now.
	MilliCPU int
	// Keep is how many instances it needs whatever it does.
	Keep int
	// Give has the lives that it can give away, in order.
	Give []string
}

const (
	// fillShare is how much of an instance's room a pool is expected to fill.
	fillShare = 0.75
	// reserve is how many instances a pool has beyond its lasting work, so that a
	// turn of demand begins at once.
	reserve = 4
	// restFor is how long an instance must have been too many before it goes to
	// the spare pool. Another pool may take it at once.
	restFor = 3 * time.Second
)

// balance is the state of moving instances between pools.
type balance struct {
	// tooMany has when a pool was first seen with more than it needs.
	tooMany map[string]time.Time
}

// Balance plans moves from pools that have more than they need to those that
// have less. Instances of the spare pool come first, since nothing runs there.
func (p *Planner) Balance(pools []Pool, registered func(life string) bool, now time.Time) []PoolState {
	if p.listed.IsZero() {
		return nil
	}
	if p.balance.tooMany == nil {
		p.balance.tooMany = make(map[string]time.Time)
	}
	members := p.members()
	b := &balancing{planner: p, now: now, members: members, size: make(map[string]int), want: make(map[string]int), registered: registered}
	for i := range pools {
		b.add(&pools[i])
	}
	b.fill()
	p.short = b.neediest() != nil
	b.rest()
	return b.states()
}

// balancing is one round of balancing.
type balancing struct {
	planner *Planner
	now     time.Time
	// members are the instances that can be moved, by pool, the best first.
	members map[string][]bbrmachine.Instance
	pools   []*Pool
	size    map[string]int
	want    map[string]int
	spare   string
	// registered tells whether the store lists a life.
	registered func(life string) bool
}

// members returns the instances that are up, in no task and of no directive, by
// pool.
func (p *Planner) members() map[string][]bbrmachine.Instance {
	members := make(map[string][]bbrmachine.Instance)
	for _, id := range slices.Sorted(maps.Keys(p.instances)) {
		instance := p.instances[id]
		_, directed := p.directives[id]
		if instance.Status == bbrmachine.StatusUp && p.tasks[id] == nil && !p.unsure[id] && !directed {
			members[instance.Pool] = append(members[instance.Pool], instance)
		}
	}
	return members
}

// sizeOf counts the instances that work or soon will in a pool.
func (p *Planner) sizeOf(pool string, registered func(life string) bool, now time.Time) int {
	count := 0
	for id, instance := range p.instances {
		home := instance.Pool
		if t := p.tasks[id]; t != nil {
			// An instance that a wave takes is not there for a while.
			home = t.pool
		}
		if home == pool && p.counts(instance, registered, now) {
			count++
		}
	}
	return count
}

// settleIn is how long an instance that is not up and registered still counts:
// it is on its way.
const settleIn = 3 * time.Second

func (p *Planner) counts(instance bbrmachine.Instance, registered func(life string) bool, now time.Time) bool {
	if instance.Status == bbrmachine.StatusUp && registered(instance.Upstream) {
		return true
	}
	return instance.Status != bbrmachine.StatusDown && now.Sub(p.standing[instance.ID].since) < settleIn
}

func (b *balancing) add(pool *Pool) {
	if pool.Spare {
		b.spare, b.planner.spare = pool.Name, pool.Name
		return
	}
	b.pools = append(b.pools, pool)
	b.size[pool.Name] = b.planner.sizeOf(pool.Name, b.registered, b.now)
	room := b.roomOf(pool.Name)
	need := int(float64(pool.MilliCPU)/(fillShare*float64(room)) + 1)
	b.want[pool.Name] = max(need, pool.Keep+reserve)
}

// roomOf returns the processor room of an instance of the pool.
func (b *balancing) roomOf(pool string) int {
	for _, instance := range b.planner.instances {
		if instance.Pool == pool && instance.Room.MilliCPU > 0 {
			return instance.Room.MilliCPU
		}
	}
	return defaultRoom
}

// defaultRoom is taken for a pool without instances, in thousandths of a core.
const defaultRoom = 16000

// fill moves instances into the pools that need them, the neediest first.
func (b *balancing) fill() {
	for {
		needy := b.neediest()
		if needy == nil {
			return
		}
		instance, ok := b.take(needy.Name)
		if !ok {
			return
		}
		b.move(instance, needy.Name)
	}
}

// neediest returns the pool with the smallest share of what it wants.
func (b *balancing) neediest() *Pool {
	var needy *Pool
	for _, pool := range b.pools {
		if b.size[pool.Name] < b.want[pool.Name] && (needy == nil || b.share(pool) < b.share(needy)) {
			needy = pool
		}
	}
	return needy
}

func (b *balancing) share(pool *Pool) float64 {
	return float64(b.size[pool.Name]) / float64(b.want[pool.Name])
}

// take returns an instance for a pool: a spare one, or one of the pool that has
// most more than it needs.
func (b *balancing) take(pool string) (bbrmachine.Instance, bool) {
	if spares := b.members[b.spare]; b.spare != "" && len(spares) > 0 {
		b.members[b.spare] = spares[1:]
		return spares[0], true
	}
	givers := slices.Clone(b.pools)
	slices.SortStableFunc(givers, func(x, y *Pool) int {
		return cmp.Compare(b.size[y.Name]-b.want[y.Name], b.size[x.Name]-b.want[x.Name])
	})
	for _, giver := range givers {
		if giver.Name != pool && b.size[giver.Name] > b.want[giver.Name] {
			if instance, ok := b.give(giver); ok {
				return instance, true
			}
		}
	}
	return bbrmachine.Instance{}, false
}

// give takes the next instance that the pool can give away.
func (b *balancing) give(pool *Pool) (bbrmachine.Instance, bool) {
	for len(pool.Give) > 0 {
		life := pool.Give[0]
		pool.Give = pool.Give[1:]
		members := b.members[pool.Name]
		at := slices.IndexFunc(members, func(instance bbrmachine.Instance) bool { return instance.Upstream == life })
		if at >= 0 {
			instance := members[at]
			b.members[pool.Name] = slices.Delete(slices.Clone(members), at, at+1)
			return instance, true
		}
	}
	return bbrmachine.Instance{}, false
}

func (b *balancing) move(instance bbrmachine.Instance, pool string) {
	b.size[instance.Pool]--
	b.size[pool]++
	b.planner.tasks[instance.ID] = &task{instance: instance.ID, pool: pool, life: instance.Upstream, since: b.now}
}

// rest moves instances that have been too many for a while to the spare pool.
func (b *balancing) rest() {
	for _, pool := range b.pools {
		since := b.planner.balance.tooMany
		if b.size[pool.Name] <= b.want[pool.Name] {
			delete(since, pool.Name)
			continue
		}
		if since[pool.Name].IsZero() {
			since[pool.Name] = b.now
		}
		if b.spare == "" || b.now.Sub(since[pool.Name]) < restFor {
			continue
		}
		for b.size[pool.Name] > b.want[pool.Name] {
			instance, ok := b.give(pool)
			if !ok {
				break
			}
			b.move(instance, b.spare)
		}
	}
}

// PoolState is a pool's size and need, for the log.
type PoolState struct {
	Name       string
	Size, Want int
	// Up counts the listed instances that are up, and Tasks those that are being
	// taken away.
	Up, Tasks int
}

func (b *balancing) states() []PoolState {
	var states []PoolState
	for _, pool := range b.pools {
		state := PoolState{Name: pool.Name, Size: b.size[pool.Name], Want: b.want[pool.Name]}
		for id, instance := range b.planner.instances {
			if instance.Pool != pool.Name {
				continue
			}
			if instance.Status == bbrmachine.StatusUp {
				state.Up++
			}
			if b.planner.tasks[id] != nil {
				state.Tasks++
			}
		}
		states = append(states, state)
	}
	return states
}
