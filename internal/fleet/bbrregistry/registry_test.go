package bbrregistry

import (
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
	"github.com/bluebellridge/bluebellridge/internal/store/bbritem"
)

var errDamaged = errors.New("damaged")

// decode reads values of the form "service" or "service draining".
func decode(key string, value []byte) (bbrwork.Upstream, error) {
	service, rest, _ := strings.Cut(string(value), " ")
	if service == "" {
		return bbrwork.Upstream{}, errDamaged
	}
	return bbrwork.Upstream{Life: bbrwork.Life{ID: key}, Service: service, Draining: rest == "draining"}, nil
}

func item(key, value string, revision bbritem.Revision) bbritem.Item {
	return bbritem.Item{Key: key, Value: []byte(value), Revision: revision}
}

func ids(r *Registry, service string) []string {
	ups, _ := r.Of(service)
	var list []string
	for _, up := range ups {
		list = append(list, up.ID)
	}
	return list
}

func TestRegistry(t *testing.T) {
	now := time.Unix(0, 0)
	r := &Registry{Decode: decode}
	r.Snapshot([]bbritem.Item{item("i-1", "press", 5), item("i-2", "", 6)}, now)
	require.Equal(t, []string{"i-1"}, ids(r, "press"), "a damaged entry names no upstream and hurts no other")
	require.True(t, r.Has("i-1"))
	_, before := r.Of("press")
	r.Change(item("i-1", "press", 7), now)
	_, same := r.Of("press")
	require.Equal(t, before, same, "a report of life alone changes nothing")
	r.Change(item("i-1", "press draining", 8), now)
	r.Change(item("i-1", "press", 6), now)
	ups, _ := r.Of("press")
	require.True(t, ups[0].Draining, "an older event comes too late")
	r.Change(bbritem.Item{Key: "i-1", Revision: 9, Deleted: true}, now)
	require.Empty(t, ids(r, "press"))
}

func TestRegistryKnowsAllAgainAfterAReset(t *testing.T) {
	now := time.Unix(0, 0)
	r := &Registry{Decode: decode}
	all := []bbritem.Item{item("i-1", "press", 5)}
	r.Snapshot(all, now)
	_, before := r.Of("press")
	r.Reset()
	require.Empty(t, ids(r, "press"))
	_, after := r.Of("press")
	require.NotEqual(t, before, after)
	r.Snapshot(all, now)
	require.Equal(t, []string{"i-1"}, ids(r, "press"))
}
