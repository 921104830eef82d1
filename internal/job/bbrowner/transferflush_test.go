package bbrowner

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrrecord"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrscheduler"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
	"github.com/bluebellridge/bluebellridge/internal/store/bbrkv"
)

// beginTestTransfer returns a model of two cells and a job whose transfer to the second one is
// pending.
func beginTestTransfer(t *testing.T) (*cellsModel, *cellsJob) {
	m := newCellsModel(1, 1, 4)
	m.staysInCell = true
	for _, o := range m.owners {
		o.Cells = nil
	}
	m.run(2 * time.Second)
	m.accept(0, cellsFinite(2, time.Minute))
	m.run(time.Second)
	waiting := m.accept(0, cellsFinite(1, time.Minute))
	m.run(time.Second)
	o := m.owners[0]
	out, begun := o.scheduler.BeginTransfer(waiting.job.ID, 1, time.Now())
	require.True(t, begun)
	o.transfers.pending = append(o.transfers.pending, pendingTransfer{OutgoingTransfer: out, cell: 1, token: m.owners[1].Held.Token})
	return m, waiting
}

// TestTransferConflict guards against an owner that takes a conflict over a job for the loss of
// its shard, and against a job that moves although it was cancelled or its new owner is gone.
func TestTransferConflict(t *testing.T) {
	for _, test := range []struct {
		name    string
		before  func(m *cellsModel, j *cellsJob)
		outcome TransferOutcome
		// replaced means that the owner has lost its shard.
		replaced bool
	}{
		{name: "none", before: func(*cellsModel, *cellsJob) {}, outcome: TransferStored},
		{name: "cancelled", before: func(m *cellsModel, j *cellsJob) { m.cancel(j) }, outcome: TransferCancelled},
		{name: "status changed", before: func(m *cellsModel, j *cellsJob) {
			_, err := m.apply(bbrkv.Transaction{Puts: []bbrkv.Put{{Key: bbrrecord.StatusKey(j.job.ID), Value: []byte("{}")}}})
			require.NoError(t, err)
		}, outcome: TransferStatusChanged},
		{name: "other owner there", before: func(m *cellsModel, _ *cellsJob) { m.takeOver(1) }, outcome: TransferOwnerChanged},
		{name: "store refuses", before: func(m *cellsModel, _ *cellsJob) { m.failing = true }, outcome: TransferRefused},
		{name: "other owner here", before: func(m *cellsModel, _ *cellsJob) {
			own := m.owners[0]
			m.takeOver(0)
			m.owners[0] = own
		}, replaced: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m, j := beginTestTransfer(t)
				test.before(m, j)
				o, replaced := m.owners[0], false
				o.cancelRun = func() { replaced = true }
				err := (&flusher{owner: o}).flushTransfers(context.Background())
				require.Equal(t, test.replaced || test.outcome == TransferRefused, err != nil)
				require.Equal(t, test.replaced, replaced)
				_, here := o.scheduler.State(j.job.ID)
				require.Equal(t, test.outcome != TransferStored, here)
				_, there := m.items[bbrrecord.JobKey(bbrwork.Shard{Service: cellsService, Cell: 1}, j.job.ID)]
				require.Equal(t, test.outcome == TransferStored, there)
				for outcome, count := range valuesByReason(t, o.Metrics, "bbr_job_transfers_total") {
					require.Equal(t, string(test.outcome), outcome)
					require.EqualValues(t, 1, count)
				}
			})
		})
	}
}

// TestLostAnswerOfTransfer guards against a job that starts in its old cell while the outcome
// of its transfer is unknown, and against a transfer that is stored twice.
func TestLostAnswerOfTransfer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m, j := beginTestTransfer(t)
		o, calls := m.owners[0], 0
		// There is room here from now on.
		m.ups = append(m.ups, &cellsUpstream{id: "i-new", capacity: m.ups[0].capacity, startedAt: time.Now(), highest: make(map[bbrwork.Unit]int)})
		m.version.ServiceChanges++
		m.serve(o, time.Now())
		m.serve(o, time.Now())
		_, err := (&flusher{owner: o}).flushBatch(context.Background(), time.Now())
		require.NoError(t, err)
		o.Store.Commit = func(_ context.Context, transaction bbrkv.Transaction) (bbrkv.Revision, error) {
			if calls++; calls > 2 {
				return m.apply(transaction)
			}
			_, _ = m.apply(transaction) // The answer is lost, whatever it is.
			plan := o.scheduler.Plan(true, time.Now())
			for _, start := range plan.Starts {
				require.NotEqual(t, j.job.ID, start.Start.Unit.Job)
			}
			return 0, bbrkv.ErrAnswerLost
		}
		o.cancelRun = func() { t.Error("the owner has its shard") }
		require.NoError(t, (&flusher{owner: o}).flushTransfers(context.Background()))
		_, here := o.scheduler.State(j.job.ID)
		require.False(t, here)
		require.Equal(t, o.commits.revision, m.items[bbrrecord.SequenceKey(o.Shard)].Revision)
	})
}

// TestTransferIsGivenUpWhileTheStoreRefuses guards against a job that starts nowhere while the
// store refuses the transactions before that of its transfer.
func TestTransferIsGivenUpWhileTheStoreRefuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m, j := beginTestTransfer(t)
		o := m.owners[0]
		for id := range m.jobs {
			if id != j.job.ID {
				o.scheduler.Cancel(id, time.Now())
			}
		}
		require.True(t, o.scheduler.Urgent(), "a transaction precedes that of the transfer")
		m.failing = true
		require.Error(t, (&flusher{owner: o}).flush(context.Background()))
		require.Empty(t, o.transfers.pending)
		require.Equal(t, map[string]float64{string(TransferRefused): 1}, valuesByReason(t, o.Metrics, "bbr_job_transfers_total"))
	})
}

// TestDepartedJobComesBackWithHigherRevision guards against an outdated list that brings back a
// job which went to another cell, and against a job that is lost when it returns.
func TestDepartedJobComesBackWithHigherRevision(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m, j := beginTestTransfer(t)
		o := m.owners[0]
		before := m.list(bbrrecord.JobPrefixOf(o.Shard))
		require.NoError(t, (&flusher{owner: o}).flushTransfers(context.Background()))
		o.jobsSnapshot(before, 0, time.Now())
		_, known := o.scheduler.State(j.job.ID)
		require.False(t, known, "the list is outdated")
		o.scheduler.AddJob(j.job, m.revision+1, nil, time.Now())
		_, known = o.scheduler.State(j.job.ID)
		require.True(t, known, "the job has returned")
	})
}

// TestJobReturnsBeforeItsTransferIsKnown guards against the loss of a job that comes back to a
// cell while the owner there still waits for the outcome of the transfer away from it.
func TestJobReturnsBeforeItsTransferIsKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m, j := beginTestTransfer(t)
		o := m.owners[0]
		out := o.transfers.pending[0].OutgoingTransfer
		returned := *j.job
		returned.Transfer = &bbrwork.Transfer{Count: 2}
		o.scheduler.AddJob(&returned, m.revision+2, nil, time.Now())
		o.scheduler.EndTransfer(out, m.revision+1, time.Now())
		_, known := o.scheduler.State(j.job.ID)
		require.True(t, known)
	})
}

// TestTransferEntries checks that a transaction has as many entries as were counted.
func TestTransferEntries(t *testing.T) {
	job := &bbrwork.Job{ID: "00000000000000a1", Service: cellsService}
	moved := *job
	moved.Cell, moved.Transfer = 1, &bbrwork.Transfer{Count: 1}
	for bits := range 8 {
		transfer := pendingTransfer{OutgoingTransfer: bbrscheduler.OutgoingTransfer{Job: job, Moved: &moved, StoresProgress: bits&1 > 0, HasProgress: bits&2 > 0, HasCrashes: bits&4 > 0}}
		var transaction bbrkv.Transaction
		addTransfer(&transaction, &transfer, []byte("{}"))
		require.Equal(t, transferEntries(&transfer), transaction.Size())
	}
}
