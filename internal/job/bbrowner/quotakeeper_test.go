package bbrowner

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrmetric"
	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrclaim"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrscheduler"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
	"github.com/bluebellridge/bluebellridge/internal/store/bbrkv"
)

const (
	testOrganisation = "press"
	modelShards      = 3
	// modelUnit is what a work unit of the model uses, in thousandths of a core.
	modelUnit = 1000
)

// quotaModel plays the owners of several shards against one store whose answers are
// lost and whose transactions are applied late.
type quotaModel struct {
	rt       *rapid.T
	random   *rand.Rand
	revision bbrkv.Revision
	items    map[string]bbrkv.Item
	// late has transactions whose answers were lost and that may still be applied.
	late []bbrkv.Transaction
	// calling has the shards whose keepers wait for the store.
	calling [modelShards]bool
	// quiet means that nothing happens any more while calls are in flight.
	quiet bool
	// faults is the chance that a transaction's answer is lost, in percent.
	faults int
	// configs has the configurations that were stored, the newest last, and applied the
	// number of the one that each owner applies.
	configs []*bbrwork.Config
	applied [modelShards]int
	owners  []*Owner
	// running counts the work units that run in each shard, and wanted those that
	// could.
	running, wanted [modelShards]int
}

// between returns a number from low to high.
func (m *quotaModel) between(low, high int) int { return low + m.random.IntN(high-low+1) }

func (m *quotaModel) oneOf(values ...string) string { return values[m.random.IntN(len(values))] }

func (m *quotaModel) store() *bbrkv.Store {
	return &bbrkv.Store{
		Get: func(_ context.Context, key string) (bbrkv.Item, error) {
			m.interleave()
			item, ok := m.items[key]
			m.interleave()
			if !ok {
				return bbrkv.Item{}, bbrkv.ErrNotFound
			}
			return item, nil
		},
		Range: func(_ context.Context, prefix, _ string) (bbrkv.Page, error) {
			m.interleave()
			page := bbrkv.Page{AsOf: m.revision}
			for _, key := range slices.Sorted(maps.Keys(m.items)) {
				if len(key) >= len(prefix) && key[:len(prefix)] == prefix {
					page.Items = append(page.Items, m.items[key])
				}
			}
			m.interleave()
			return page, nil
		},
		Commit: m.commit,
	}
}

// interleave lets other things happen while a call to the store is in flight.
func (m *quotaModel) interleave() {
	for range m.between(0, 2) {
		if m.quiet {
			return
		}
		m.event()
	}
}

func (m *quotaModel) commit(_ context.Context, transaction bbrkv.Transaction) (bbrkv.Revision, error) {
	m.interleave()
	defer m.interleave()
	if m.between(1, 100) <= m.faults {
		switch m.oneOf("applied", "late", "never") {
		case "applied":
			_, _ = m.apply(transaction)
		case "late":
			m.late = append(m.late, transaction)
		}
		return 0, bbrkv.ErrAnswerLost
	}
	return m.apply(transaction)
}

func (m *quotaModel) apply(transaction bbrkv.Transaction) (bbrkv.Revision, error) {
	conflict := &bbrkv.Conflict{Items: make(map[string]bbrkv.Item)}
	met := true
	for _, condition := range transaction.Conditions {
		item, ok := m.items[condition.Key]
		if ok {
			conflict.Items[condition.Key] = item
		}
		met = met && item.Revision == condition.Revision
	}
	if !met {
		return 0, conflict
	}
	m.revision++
	for _, put := range transaction.Puts {
		m.items[put.Key] = bbrkv.Item{Key: put.Key, Value: put.Value, Revision: m.revision}
	}
	return m.revision, nil
}

func modelShard(number int) bbrwork.Shard {
	return bbrwork.Shard{Service: fmt.Sprintf("service-%d", number)}
}

// takeOver replaces the owner of a shard. The shard's runs go on.
func (m *quotaModel) takeOver(t require.TestingT, number int) {
	m.calling[number] = true
	shard := modelShard(number)
	key := bbrclaim.ClaimKey(shard.String())
	m.revision++
	m.items[key] = bbrkv.Item{Key: key, Revision: m.revision}
	o := &Owner{
		Held: bbrclaim.HeldClaim{Name: shard.String(), Token: m.revision}, Shard: shard, Store: m.store(), Metrics: bbrmetric.New(),
		ConfigKey: testConfigKey, ShardCount: func() int { return modelShards },
		scheduler:    bbrscheduler.New(shard, int64(m.revision), bbrscheduler.Timing{}, true, time.Now()),
		adjustShares: make(chan struct{}, 1), wake: make(chan struct{}, 1), cancelRun: func() {},
	}
	items, err := o.loadShares(context.Background())
	require.NoError(t, err)
	// A new owner may apply an older configuration than the newest.
	m.applied[number] = max(m.applied[number], len(m.configs)-1-m.between(0, 1))
	o.scheduler.SetConfig(m.configs[m.applied[number]])
	o.quota = o.newQuotaKeeper(items, time.Now())
	o.scheduler.Account(testOrganisation)
	m.owners[number] = o
	m.calling[number] = false
}

const testConfigKey = "config"

// storeConfig stores a configuration with a random cap.
func (m *quotaModel) storeConfig() {
	m.revision++
	m.items[testConfigKey] = bbrkv.Item{Key: testConfigKey, Revision: m.revision}
	limit := bbrwork.Resources{MilliCPU: m.between(1, 60) * modelUnit / 2}
	config, err := bbrwork.NewConfig(int64(m.revision), nil, nil, bbrwork.Limits{}).WithOrganisations([]*bbrwork.Organisation{{Name: testOrganisation, Cap: limit}})
	require.NoError(m.rt, err)
	config.StoreRevision = int64(m.revision)
	m.configs = append(m.configs, config)
}

// applyConfig makes the owner of a shard apply the newest configuration.
func (m *quotaModel) applyConfig(number int) {
	m.applied[number] = len(m.configs) - 1
	m.owners[number].scheduler.SetConfig(m.configs[m.applied[number]])
}

// highestCap returns the highest cap since the configuration that a shard's owner
// applies: an owner that applies a lower cap obeys it, even while others do not know it.
func (m *quotaModel) highestCap(number int) int {
	highest := 0
	for _, config := range m.configs[m.applied[number]:] {
		highest = max(highest, config.Organisations[testOrganisation].Cap.MilliCPU)
	}
	return highest
}

// plan starts the work units that a shard wants and its share allows.
func (m *quotaModel) plan(number int) {
	account := m.owners[number].scheduler.Account(testOrganisation)
	unit := bbrwork.Resources{MilliCPU: modelUnit}
	account.Used = unit.Times(m.running[number])
	account.BeginPlan(bbrwork.Resources{})
	for m.running[number] < m.wanted[number] {
		if !account.Allows(unit) {
			account.Block(unit.Times(m.wanted[number]-m.running[number]), unit.Times(m.wanted[number]))
			return
		}
		m.running[number]++
		account.Used = account.Used.Plus(unit)
		require.LessOrEqual(m.rt, m.total()*modelUnit, max(m.highestCap(number), modelUnit), "work started beyond the cap")
	}
}

func (m *quotaModel) adjust(number int) {
	if m.calling[number] {
		return
	}
	m.calling[number] = true
	m.owners[number].quota.adjust(context.Background())
	m.calling[number] = false
}

func (m *quotaModel) total() int {
	total := 0
	for _, running := range m.running {
		total += running
	}
	return total
}

// TestCapHoldsOverAllShards guards against an organisation that runs more than its cap
// on the whole fleet, whatever the owners know of each other: answers of the store are
// lost and transactions applied late, owners are replaced while their transactions are
// in flight, and the cap changes. An organisation that uses under half of its cap is not
// held up by shares that lie idle elsewhere.
func TestCapHoldsOverAllShards(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		inBubble(t, func() {
			m := &quotaModel{rt: rt, random: rand.New(rand.NewPCG(seed, 0)), items: make(map[string]bbrkv.Item), owners: make([]*Owner, modelShards)}
			m.faults = 20 * m.between(0, 2)
			m.storeConfig()
			m.quiet = true
			for number := range modelShards {
				m.takeOver(rt, number)
			}
			m.quiet = false
			for range m.between(1, 150) {
				m.event()
			}
			m.quiet = true
			m.settle()
		})
	})
}

// inBubble runs a check of a property on a virtual clock.
func inBubble(t *testing.T, check func()) {
	var failure any
	synctest.Test(t, func(*testing.T) {
		defer func() { failure = recover() }()
		check()
	})
	if failure != nil {
		panic(failure)
	}
}

// event lets one thing happen.
func (m *quotaModel) event() {
	number := m.between(0, modelShards-1)
	switch m.oneOf("demand", "plan", "adjust", "end", "adjust", "plan", "cap", "apply", "apply", "takeover", "late", "time", "end", "time") {
	case "demand":
		m.wanted[number] = m.between(0, 40)
	case "plan":
		m.plan(number)
	case "adjust":
		m.plan(number)
		m.adjust(number)
	case "end":
		m.running[number] -= min(m.running[number], m.between(0, 20))
	case "cap":
		m.storeConfig()
	case "apply":
		m.applyConfig(number)
	case "takeover":
		if !m.calling[number] {
			m.takeOver(m.rt, number)
		}
	case "late":
		for _, transaction := range m.late {
			_, _ = m.apply(transaction)
		}
		m.late = nil
	case "time":
		time.Sleep(time.Second)
	}
}

// settle ends the faults and all work but one shard's, which must then start at once.
func (m *quotaModel) settle() {
	m.faults = 0
	m.running, m.wanted = [modelShards]int{}, [modelShards]int{}
	m.wanted[0] = max(1, m.configs[len(m.configs)-1].Organisations[testOrganisation].Cap.MilliCPU/modelUnit/2)
	for number := range modelShards {
		m.applyConfig(number)
	}
	for range 30 {
		time.Sleep(100 * time.Millisecond)
		for number := range modelShards {
			m.plan(number)
			m.adjust(number)
		}
	}
	m.plan(0)
	require.Equal(m.rt, m.wanted[0], m.running[0], "work of an organisation under half of its cap did not start within 3 s")
}

// TestReadBeforeLowerCapDoesNotVerify guards against work that starts under a lower cap
// although the shares were read before that cap applied: other shards may have grown in
// between.
func TestReadBeforeLowerCapDoesNotVerify(t *testing.T) {
	limited := func(revision int64, milliCPU int) *bbrwork.Config {
		config, err := bbrwork.NewConfig(revision, nil, nil, bbrwork.Limits{}).WithOrganisations([]*bbrwork.Organisation{
			{Name: testOrganisation, Cap: bbrwork.Resources{MilliCPU: milliCPU}},
		})
		require.NoError(t, err)
		config.StoreRevision = revision
		return config
	}
	o := &Owner{Shard: modelShard(0), Metrics: bbrmetric.New(), wake: make(chan struct{}, 1)}
	o.scheduler = bbrscheduler.New(o.Shard, 1, bbrscheduler.Timing{}, true, time.Now())
	o.scheduler.SetConfig(limited(1, 4*modelUnit))
	account := o.scheduler.Account(testOrganisation)
	account.Held = bbrwork.Resources{MilliCPU: modelUnit}
	inFlight := func() {}
	o.Store = &bbrkv.Store{Range: func(context.Context, string, string) (bbrkv.Page, error) {
		inFlight()
		return bbrkv.Page{}, nil
	}}
	o.quota = o.newQuotaKeeper(nil, time.Now())
	account.Held = bbrwork.Resources{MilliCPU: modelUnit}

	inFlight = func() { o.scheduler.SetConfig(limited(2, modelUnit)) }
	o.quota.reread(t.Context(), time.Now())
	require.False(t, account.Allows(bbrwork.Resources{MilliCPU: modelUnit}))
	inFlight = func() {}
	o.quota.reread(t.Context(), time.Now())
	require.True(t, account.Allows(bbrwork.Resources{MilliCPU: modelUnit}))
}
