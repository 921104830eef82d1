package bbradmin

import (
	"context"
	"maps"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrcode"
	"github.com/bluebellridge/bluebellridge/internal/base/bbrmetric"
	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrclaim"
	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrmachine"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrrecord"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrscheduler"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
	"github.com/bluebellridge/bluebellridge/internal/operator/bbrapi"
	"github.com/bluebellridge/bluebellridge/internal/store/bbrkv"
)

// memory is a store with what the desk needs.
type memory struct {
	items    map[string]bbrkv.Item
	revision bbrkv.Revision
	// beforeCommit runs before the next transaction.
	beforeCommit func()
	// failing is what transactions answer; nil for none.
	failing error
}

func (m *memory) put(key string, value []byte) {
	m.revision++
	m.items[key] = bbrkv.Item{Key: key, Value: value, Revision: m.revision}
}

func (m *memory) store() *bbrkv.Store {
	return &bbrkv.Store{
		Get: func(_ context.Context, key string) (bbrkv.Item, error) {
			item, ok := m.items[key]
			if !ok {
				return bbrkv.Item{}, bbrkv.ErrNotFound
			}
			return item, nil
		},
		Range: func(_ context.Context, prefix, after string) (bbrkv.Page, error) {
			page := bbrkv.Page{AsOf: m.revision}
			for _, key := range slices.Sorted(maps.Keys(m.items)) {
				if strings.HasPrefix(key, prefix) && key > after {
					page.Items = append(page.Items, m.items[key])
				}
			}
			return page, nil
		},
		Commit: func(_ context.Context, transaction bbrkv.Transaction) (bbrkv.Revision, error) {
			if before := m.beforeCommit; before != nil {
				m.beforeCommit = nil
				before()
			}
			if m.failing != nil {
				return 0, m.failing
			}
			for _, condition := range transaction.Conditions {
				if m.items[condition.Key].Revision != condition.Revision {
					return 0, &bbrkv.Conflict{Items: maps.Clone(m.items)}
				}
			}
			for _, put := range transaction.Puts {
				m.put(put.Key, put.Value)
			}
			return m.revision, nil
		},
	}
}

// newDesk returns a desk of a pool of three instances whose lasting work needs
// two.
func newDesk() (*Executor, *memory) {
	m := &memory{items: make(map[string]bbrkv.Item)}
	for cell := range 2 {
		shard := bbrwork.Shard{Service: "press", Cell: cell}
		m.put(bbrrecord.ReportKey(shard), bbrrecord.Encode(bbrrecord.Report{Demand: bbrscheduler.Demand{MinUpstreams: 1}}))
	}
	var instances []bbrmachine.Instance
	for _, id := range []string{"m-1", "m-2", "m-3"} {
		instances = append(instances, bbrmachine.Instance{ID: id, Pool: "press", Status: bbrmachine.StatusUp, Upstream: "i-" + id})
	}
	config := bbrwork.NewConfig(1, nil, []*bbrwork.Service{{Name: "press"}, {Name: "portal", Spare: true}}, bbrwork.Limits{})
	return &Executor{
		Store:     m.store(),
		Directory: &bbrclaim.Directory{},
		Fleet:     &bbrmachine.Fleet{List: func(context.Context) ([]bbrmachine.Instance, error) { return instances, nil }},
		Metrics:   bbrmetric.New(),
		Config:    func() *bbrwork.Config { return config },
	}, m
}

func (d *Executor) code(line string) bbrcode.Code {
	return d.Execute(context.Background(), bbrapi.Request{Line: line}).Code
}

func stored(t *testing.T, m *memory) bbrmachine.Directives {
	t.Helper()
	directives, err := bbrmachine.ParseDirectives(m.items[bbrclaim.DirectivesKey].Value)
	require.NoError(t, err)
	return directives
}

// TestDrainsKeepTheBudget holds that operators cannot take so many instances that
// a pool's lasting work has no room, also by moves.
func TestDrainsKeepTheBudget(t *testing.T) {
	d, m := newDesk()
	require.Equal(t, bbrcode.Done, d.code(`drain m-1 for "fan noise"`))
	require.Equal(t, "fan noise", stored(t, m)["m-1"].Reason)
	require.Equal(t, bbrcode.BudgetExhausted, d.code("drain m-2"))
	require.Equal(t, bbrcode.BudgetExhausted, d.code("move m-2 to portal"))
	require.Equal(t, bbrcode.Done, d.code("drain m-1"), "it is drained already")
	require.Equal(t, bbrcode.Done, d.code("resume m-1"))
	require.Equal(t, bbrcode.Done, d.code("move m-2 to portal"))
	require.Equal(t, "portal", stored(t, m)["m-2"].Pool)
	require.Len(t, stored(t, m), 1)
}

// TestOperatorsWhoRace holds that of two drains at the same time only one is
// stored where the budget has room for one.
func TestOperatorsWhoRace(t *testing.T) {
	d, m := newDesk()
	m.beforeCommit = func() { require.Equal(t, bbrcode.Done, d.code("drain m-2")) }
	require.Equal(t, bbrcode.Conflict, d.code("drain m-1"))
	require.Equal(t, bbrcode.BudgetExhausted, d.code("drain m-1"))
	require.Len(t, stored(t, m), 1)
}

// TestCommandsSayWhatTheyDid holds that a dry run stores nothing, that a lost
// answer is not said to be a refusal, and that names are checked.
func TestCommandsSayWhatTheyDid(t *testing.T) {
	d, m := newDesk()
	dry := d.Execute(context.Background(), bbrapi.Request{Line: "drain m-1", DryRun: true})
	require.Equal(t, bbrcode.DryRun, dry.Code)
	require.Empty(t, stored(t, m))
	require.Equal(t, bbrcode.UnknownInstance, d.code("drain m-9"))
	require.Equal(t, bbrcode.UnknownName, d.code("move m-1 to nowhere"))
	require.Equal(t, bbrcode.WrongState, d.code("resume m-1"))
	m.failing = bbrkv.ErrRefused
	require.Equal(t, bbrcode.PlatformUnavailable, d.code("drain m-1"))
	m.failing = bbrkv.ErrAnswerLost
	require.Equal(t, bbrcode.WriteUnknown, d.code("drain m-1"))
}
