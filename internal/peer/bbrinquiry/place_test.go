package bbrinquiry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrscheduler"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// earlierDescription describes the methods of a build without Place.
type earlierDescription struct{ rpcDescription }

func (earlierDescription) NumMethods() int { return 7 }

func TestPlace(t *testing.T) {
	listener, address := listen(t)
	server := &Server{JobPlacement: func(job *bbrwork.Job) (bbrscheduler.Placement, bool) {
		return bbrscheduler.Placement{Priority: 3, Steps: []bbrscheduler.StepPlacement{{Tier: 2, StepExplanation: bbrscheduler.StepExplanation{Units: 5}}}}, job.Shard() == pressShard
	}}
	go func() { _ = server.Run(t.Context(), listener) }()
	client := NewClient()
	defer client.Close()
	placement, err := client.Place(t.Context(), address, &bbrwork.Job{Service: "press", Cell: 2}, time.Now())
	require.NoError(t, err)
	require.Equal(t, 3, placement.Priority)
	require.Equal(t, 5, placement.Steps[0].Units)
	require.Equal(t, 2, placement.Steps[0].Tier)
	_, err = client.Place(t.Context(), address, &bbrwork.Job{Service: "other"}, time.Now())
	require.ErrorIs(t, err, ErrNotOwner)
	_, err = client.Place(t.Context(), address, nil, time.Now())
	require.ErrorIs(t, err, ErrNotOwner)
}

// TestPlaceAtEarlierBuild guards against an entry of an earlier build that gets no queries
// and hints for a while because it does not know this one.
func TestPlaceAtEarlierBuild(t *testing.T) {
	listener, address := listen(t)
	router := drpcmux.New()
	earlier := &Server{JobState: func(bbrwork.Shard, string) (bbrwork.State, bool) { return bbrwork.Running, true }}
	require.NoError(t, router.Register(earlier, earlierDescription{}))
	go func() { _ = drpcserver.New(router).Serve(t.Context(), listener) }()
	client := NewClient()
	defer client.Close()
	_, err := client.Place(t.Context(), address, &bbrwork.Job{}, time.Now())
	require.ErrorIs(t, err, ErrUnsupported)
	require.False(t, client.inBackoff(address, time.Now()))
	_, known := client.State(t.Context(), address, pressShard, "a", time.Now())
	require.True(t, known)
}

// TestPlaceWithoutAnswer checks that an entry that does not answer is reported as such, and
// is not queried again during the backoff.
func TestPlaceWithoutAnswer(t *testing.T) {
	_, address := listen(t)
	client := NewClient()
	defer client.Close()
	now := time.Now()
	for range 2 {
		_, err := client.Place(t.Context(), address, &bbrwork.Job{}, now)
		require.ErrorIs(t, err, ErrNoAnswer)
		require.True(t, client.inBackoff(address, now))
	}
}
