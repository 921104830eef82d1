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

// memoryStore implements the calls of the store that the executor makes.
type memoryStore struct {
	items    map[string]bbrkv.Item
	revision bbrkv.Revision
	// beforeCommit runs before the next transaction.
	beforeCommit func()
	// commitError is returned by transactions; nil commits them.
	commitError error
}

func (m *memoryStore) put(key string, value []byte) {
	m.revision++
	m.items[key] = bbrkv.Item{Key: key, Value: value, Revision: m.revision}
}

func (m *memoryStore) store() *bbrkv.Store {
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
			if m.commitError != nil {
				return 0, m.commitError
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

// newTestExecutor returns an executor for a pool of three instances whose long-running
// work needs two.
func newTestExecutor() (*Executor, *memoryStore) {
	m := &memoryStore{items: make(map[string]bbrkv.Item)}
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

func (x *Executor) code(line string) bbrcode.Code {
	return x.Execute(context.Background(), bbrapi.Request{Line: line}).Code
}

func storedDirectives(t *testing.T, m *memoryStore) bbrmachine.Directives {
	t.Helper()
	directives, err := bbrmachine.ParseDirectives(m.items[bbrclaim.DirectivesKey].Value)
	require.NoError(t, err)
	return directives
}

// TestDrainsRespectBudget checks that drains and moves are refused where they would
// leave a pool fewer instances than its long-running work needs.
func TestDrainsRespectBudget(t *testing.T) {
	x, m := newTestExecutor()
	require.Equal(t, bbrcode.Done, x.code(`drain m-1 for "fan noise"`))
	require.Equal(t, "fan noise", storedDirectives(t, m)["m-1"].Reason)
	require.Equal(t, bbrcode.BudgetExhausted, x.code("drain m-2"))
	require.Equal(t, bbrcode.BudgetExhausted, x.code("move m-2 to portal"))
	require.Equal(t, bbrcode.Done, x.code("drain m-1"), "draining it again succeeds")
	require.Equal(t, bbrcode.Done, x.code("resume m-1"))
	require.Equal(t, bbrcode.Done, x.code("move m-2 to portal"))
	require.Equal(t, "portal", storedDirectives(t, m)["m-2"].Pool)
	require.Len(t, storedDirectives(t, m), 1)
}

// TestConcurrentDrains checks that only one of two concurrent drains is stored if the
// budget allows for one.
func TestConcurrentDrains(t *testing.T) {
	x, m := newTestExecutor()
	m.beforeCommit = func() { require.Equal(t, bbrcode.Done, x.code("drain m-2")) }
	require.Equal(t, bbrcode.Conflict, x.code("drain m-1"))
	require.Equal(t, bbrcode.BudgetExhausted, x.code("drain m-1"))
	require.Len(t, storedDirectives(t, m), 1)
}

// TestCommandResults checks that a dry run stores nothing, that a lost answer is not
// reported as a refusal, and that unknown names are refused.
func TestCommandResults(t *testing.T) {
	x, m := newTestExecutor()
	dry := x.Execute(context.Background(), bbrapi.Request{Line: "drain m-1", DryRun: true})
	require.Equal(t, bbrcode.DryRun, dry.Code)
	require.Empty(t, storedDirectives(t, m))
	require.Equal(t, bbrcode.UnknownInstance, x.code("drain m-9"))
	require.Equal(t, bbrcode.UnknownName, x.code("move m-1 to nowhere"))
	require.Equal(t, bbrcode.WrongState, x.code("resume m-1"))
	m.commitError = bbrkv.ErrRefused
	require.Equal(t, bbrcode.PlatformUnavailable, x.code("drain m-1"))
	m.commitError = bbrkv.ErrAnswerLost
	require.Equal(t, bbrcode.WriteUnknown, x.code("drain m-1"))
}
