package bbrintake

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrcode"
	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrcell"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrrecord"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
	"github.com/bluebellridge/bluebellridge/internal/store/bbrkv"
)

// movingStore has the records of one job that goes from cell 0 to cell 1 before the call with
// the number moveBefore. The job has progress.
type movingStore struct {
	calls, moveBefore int
	cancelled         []string
}

func (s *movingStore) shard() bbrwork.Shard {
	shard := bbrwork.Shard{Service: "press"}
	if s.calls >= s.moveBefore {
		shard.Cell = 1
	}
	return shard
}

func (s *movingStore) get(_ context.Context, key string) (bbrkv.Item, error) {
	s.calls++
	shard := s.shard()
	switch key {
	case bbrrecord.StatusKey(firstID):
		return bbrkv.Item{Key: key, Revision: bbrkv.Revision(1 + shard.Cell), Value: bbrrecord.Encode(bbrrecord.Status{Service: shard.Service, Cell: shard.Cell})}, nil
	case bbrrecord.ProgressKey(shard, firstID):
		return bbrkv.Item{Key: key}, nil
	default:
		return bbrkv.Item{}, bbrkv.ErrNotFound
	}
}

func (s *movingStore) commit(_ context.Context, transaction bbrkv.Transaction) (bbrkv.Revision, error) {
	s.calls++
	if transaction.Conditions[0].Revision != bbrkv.Revision(1+s.shard().Cell) {
		return 0, &bbrkv.Conflict{}
	}
	for _, put := range transaction.Puts {
		s.cancelled = append(s.cancelled, put.Key)
	}
	return 9, nil
}

// TestStateOfJobThatChangesItsCell guards against a running job that is reported as pending or
// unknown as it goes to another cell between two reads, or as its cell is known from before.
func TestStateOfJobThatChangesItsCell(t *testing.T) {
	for moveBefore := range 6 {
		for _, cached := range []bool{false, true} {
			store := &movingStore{moveBefore: moveBefore}
			intake := &Intake{Store: &bbrkv.Store{Get: store.get}, Config: func() *bbrwork.Config { return bbrwork.NewConfig(1, nil, nil, bbrwork.Limits{}) },
				Cells: func() *bbrcell.Cells { return &bbrcell.Cells{Sizes: []int{64, 64}} }}
			if cached {
				intake.Jobs.Add(firstID, jobPlace{shard: bbrwork.Shard{Service: "press"}})
			}
			state, code := intake.State(t.Context(), &bbrwork.Queue{Service: "press"}, firstID, "", time.Now())
			require.Equal(t, bbrcode.StateReported, code)
			require.Equal(t, bbrwork.Running, state, "moved before call %d", moveBefore)
		}
	}
}

// TestCancellationOfJobThatChangesItsCell guards against a cancellation request that the new
// owner of the job does not find.
func TestCancellationOfJobThatChangesItsCell(t *testing.T) {
	for moveBefore := range 4 {
		store := &movingStore{moveBefore: moveBefore}
		intake := &Intake{Store: &bbrkv.Store{Get: store.get, Commit: store.commit}}
		require.Equal(t, bbrcode.CancelStored, intake.Cancel(t.Context(), Cancellation{ID: firstID}, time.Now()))
		shard := bbrwork.Shard{Service: "press", Cell: 1}
		if moveBefore > 2 {
			shard.Cell = 0 // The request comes first, so that the job does not move.
		}
		require.Equal(t, []string{bbrrecord.CancelKey(shard, firstID)}, store.cancelled)
	}
}
