package bbrregistry

import (
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrcell"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
	"github.com/bluebellridge/bluebellridge/internal/store/bbrkv"
)

// whole is a fleet of one cell.
var whole = &bbrcell.Cells{Sizes: []int{10}}

var errDamaged = errors.New("damaged")

// decode reads values of the form "service" or "service draining".
func decode(key string, value []byte) (bbrwork.Upstream, error) {
	service, rest, _ := strings.Cut(string(value), " ")
	if service == "" {
		return bbrwork.Upstream{}, errDamaged
	}
	return bbrwork.Upstream{Incarnation: bbrwork.Incarnation{ID: key}, Service: service, Draining: rest == "draining"}, nil
}

func item(key, value string, revision bbrkv.Revision) bbrkv.Item {
	return bbrkv.Item{Key: key, Value: []byte(value), Revision: revision}
}

func ids(r *Registry, service string) []string {
	ups, _ := r.UpstreamsOf(bbrwork.Shard{Service: service}, whole, Version{})
	var list []string
	for _, up := range ups {
		list = append(list, up.ID)
	}
	return list
}

func TestRegistry(t *testing.T) {
	now := time.Unix(0, 0)
	r := &Registry{Decode: decode}
	r.Snapshot([]bbrkv.Item{item("i-1", "press", 5), item("i-2", "", 6)}, now)
	require.Equal(t, []string{"i-1"}, ids(r, "press"), "a damaged entry names no upstream and hurts no other")
	require.True(t, r.Has("i-1"))
	_, before := r.UpstreamsOf(bbrwork.Shard{Service: "press"}, whole, Version{})
	r.Change(item("i-1", "press", 7), now)
	_, same := r.UpstreamsOf(bbrwork.Shard{Service: "press"}, whole, Version{})
	require.Equal(t, before, same, "a report of life alone changes nothing")
	r.Change(item("i-1", "press draining", 8), now)
	r.Change(item("i-1", "press", 6), now)
	ups, _ := r.UpstreamsOf(bbrwork.Shard{Service: "press"}, whole, Version{})
	require.True(t, ups[0].Draining, "an older event comes too late")
	r.Change(bbrkv.Item{Key: "i-1", Revision: 9, Deleted: true}, now)
	require.Empty(t, ids(r, "press"))
}

func TestRegistryKnowsAllAgainAfterAReset(t *testing.T) {
	now := time.Unix(0, 0)
	r := &Registry{Decode: decode}
	all := []bbrkv.Item{item("i-1", "press", 5)}
	r.Snapshot(all, now)
	_, before := r.UpstreamsOf(bbrwork.Shard{Service: "press"}, whole, Version{})
	r.Reset()
	require.Empty(t, ids(r, "press"))
	_, after := r.UpstreamsOf(bbrwork.Shard{Service: "press"}, whole, Version{})
	require.NotEqual(t, before, after)
	r.Snapshot(all, now)
	require.Equal(t, []string{"i-1"}, ids(r, "press"))
}

// TestRegistryServesAShard holds that a shard gets the upstreams of its cell
// only, and those of a new rack once it has a cell.
func TestRegistryServesAShard(t *testing.T) {
	now := time.Unix(0, 0)
	r := &Registry{Decode: func(key string, value []byte) (bbrwork.Upstream, error) {
		return bbrwork.Upstream{Incarnation: bbrwork.Incarnation{ID: key}, Service: "press", Labels: []string{"a", string(value)}}, nil
	}}
	r.Snapshot([]bbrkv.Item{item("i-1", "r1", 1), item("i-2", "r2", 2), item("i-3", "r3", 3)}, now)
	cells := &bbrcell.Cells{Sizes: []int{1, 1}, CellByRack: map[string]int{"r1": 0, "r2": 1}}
	of := func(cell int, known Version) ([]bbrwork.Upstream, Version) {
		return r.UpstreamsOf(bbrwork.Shard{Service: "press", Cell: cell}, cells, known)
	}
	none, undivided := r.UpstreamsOf(bbrwork.Shard{Service: "press"}, nil, Version{})
	require.Empty(t, none, "an undivided fleet may still be divided in any way")

	ups, version := of(1, undivided)
	require.Len(t, ups, 1)
	require.Equal(t, "i-2", ups[0].ID)
	ups, same := of(1, version)
	require.Empty(t, ups)
	require.Equal(t, version, same)

	cells = &bbrcell.Cells{Sizes: []int{1, 2}, CellByRack: map[string]int{"r1": 0, "r2": 1, "r3": 1}}
	ups, grown := of(1, version)
	require.Len(t, ups, 2)
	require.NotEqual(t, version, grown)
}
