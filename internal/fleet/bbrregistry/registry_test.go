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

// singleCell is a division of the fleet into one cell.
var singleCell = &bbrcell.Cells{Sizes: []int{10}}

var errInvalid = errors.New("invalid registration")

// decode reads values of the form "service" or "service draining".
func decode(key string, value []byte) (bbrwork.Upstream, error) {
	service, rest, _ := strings.Cut(string(value), " ")
	if service == "" {
		return bbrwork.Upstream{}, errInvalid
	}
	return bbrwork.Upstream{Incarnation: bbrwork.Incarnation{ID: key}, Service: service, Draining: rest == "draining"}, nil
}

func item(key, value string, revision bbrkv.Revision) bbrkv.Item {
	return bbrkv.Item{Key: key, Value: []byte(value), Revision: revision}
}

func upstreamIDs(r *Registry, service string) []string {
	upstreams, _ := r.UpstreamsOf(bbrwork.Shard{Service: service}, singleCell, Version{})
	var list []string
	for _, upstream := range upstreams {
		list = append(list, upstream.ID)
	}
	return list
}

func TestRegistry(t *testing.T) {
	now := time.Unix(0, 0)
	r := &Registry{Decode: decode}
	r.Snapshot([]bbrkv.Item{item("i-1", "press", 5), item("i-2", "", 6)}, 0, now)
	require.Equal(t, []string{"i-1"}, upstreamIDs(r, "press"), "an invalid registration is ignored and affects no other")
	require.True(t, r.Has("i-1"))
	_, before := r.UpstreamsOf(bbrwork.Shard{Service: "press"}, singleCell, Version{})
	r.Change(item("i-1", "press", 7), now)
	_, same := r.UpstreamsOf(bbrwork.Shard{Service: "press"}, singleCell, Version{})
	require.Equal(t, before, same, "a renewed registration without changes keeps the version")
	r.Change(item("i-1", "press draining", 8), now)
	r.Change(item("i-1", "press", 6), now)
	upstreams, _ := r.UpstreamsOf(bbrwork.Shard{Service: "press"}, singleCell, Version{})
	require.True(t, upstreams[0].Draining, "an event with an older revision is ignored")
	r.Change(bbrkv.Item{Key: "i-1", Revision: 9, Deleted: true}, now)
	require.Empty(t, upstreamIDs(r, "press"))
}

// TestSnapshotAfterReset checks that a reset removes all upstreams and changes the
// version, and that a snapshot with the same revisions is applied afterwards.
func TestSnapshotAfterReset(t *testing.T) {
	now := time.Unix(0, 0)
	r := &Registry{Decode: decode}
	items := []bbrkv.Item{item("i-1", "press", 5)}
	r.Snapshot(items, 0, now)
	_, before := r.UpstreamsOf(bbrwork.Shard{Service: "press"}, singleCell, Version{})
	r.Reset()
	require.Empty(t, upstreamIDs(r, "press"))
	_, after := r.UpstreamsOf(bbrwork.Shard{Service: "press"}, singleCell, Version{})
	require.NotEqual(t, before, after)
	r.Snapshot(items, 0, now)
	require.Equal(t, []string{"i-1"}, upstreamIDs(r, "press"))
}

// TestUpstreamsOfShard checks that a shard gets only the upstreams of its cell, and
// those of a new rack once the rack has a cell.
func TestUpstreamsOfShard(t *testing.T) {
	now := time.Unix(0, 0)
	r := &Registry{Decode: func(key string, value []byte) (bbrwork.Upstream, error) {
		return bbrwork.Upstream{Incarnation: bbrwork.Incarnation{ID: key}, Service: "press", Labels: []string{"a", string(value)}}, nil
	}}
	r.Snapshot([]bbrkv.Item{item("i-1", "r1", 1), item("i-2", "r2", 2), item("i-3", "r3", 3)}, 0, now)
	cells := &bbrcell.Cells{Sizes: []int{1, 1}, CellByRack: map[string]int{"r1": 0, "r2": 1}}
	upstreamsOf := func(cell int, known Version) ([]bbrwork.Upstream, Version) {
		return r.UpstreamsOf(bbrwork.Shard{Service: "press", Cell: cell}, cells, known)
	}
	unplaced, undivided := r.UpstreamsOf(bbrwork.Shard{Service: "press"}, nil, Version{})
	require.Empty(t, unplaced, "before the fleet is divided, the cell of an upstream is not known")

	upstreams, version := upstreamsOf(1, undivided)
	require.Len(t, upstreams, 1)
	require.Equal(t, "i-2", upstreams[0].ID)
	upstreams, same := upstreamsOf(1, version)
	require.Empty(t, upstreams)
	require.Equal(t, version, same)

	cells = &bbrcell.Cells{Sizes: []int{1, 2}, CellByRack: map[string]int{"r1": 0, "r2": 1, "r3": 1}}
	upstreams, extended := upstreamsOf(1, version)
	require.Len(t, upstreams, 2)
	require.NotEqual(t, version, extended)
}
