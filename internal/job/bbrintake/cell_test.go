package bbrintake

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrcode"
	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrcell"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrrecord"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
	"github.com/bluebellridge/bluebellridge/internal/store/bbrkv"
)

// TestCopiesOfAJobForDifferentCellsBecomeOneJob guards against a job that is stored in two
// cells, since the choice of the cell changed between two copies of it. They may reach
// different entries, or the same one at the same time.
func TestCopiesOfAJobForDifferentCellsBecomeOneJob(t *testing.T) {
	for _, entries := range []int{1, 2} {
		synctest.Test(t, func(t *testing.T) {
			store := &scriptedStore{keys: make(map[string]bool)}
			cells := &bbrcell.Cells{Sizes: []int{64, 64}}
			next := 0
			var mu sync.Mutex
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			var intakes []*Intake
			for range entries {
				intake := &Intake{
					Acceptor:       NewAcceptor(&bbrkv.Store{Commit: store.commit}),
					Cells:          func() *bbrcell.Cells { return cells },
					Config:         func() *bbrwork.Config { return bbrwork.NewConfig(1, nil, nil, bbrwork.Limits{}) },
					StoreAvailable: func(time.Time) bool { return true },
					ChooseCell: func(*bbrcell.Cells, *bbrwork.Job, int, time.Time) int {
						mu.Lock()
						defer mu.Unlock()
						next++
						return next % 2
					},
				}
				go intake.Acceptor.Run(ctx)
				intakes = append(intakes, intake)
			}
			const copies = 4
			codes := make([]bbrcode.Code, copies)
			var wg sync.WaitGroup
			for i := range copies {
				wg.Go(func() {
					now := time.Now()
					codes[i], _ = intakes[i%entries].Submit(ctx, &bbrwork.Job{Steps: []bbrwork.Step{{Count: 1}}}, &bbrwork.Queue{Service: "press"}, firstID, now.Add(3*time.Second), now)
				})
			}
			wg.Wait()
			stored := 0
			for cell := range 2 {
				if store.keys[bbrrecord.JobKey(bbrwork.Shard{Service: "press", Cell: cell}, firstID)] {
					stored++
				}
			}
			require.Equal(t, 1, stored)
			accepted := 0
			for _, code := range codes {
				if code == bbrcode.Accepted {
					accepted++
				} else {
					require.Equal(t, bbrcode.AlreadyStored, code)
				}
			}
			require.Equal(t, 1, accepted)
		})
	}
}

// TestCellIsChosenAsBeforeWithoutRoom checks that an intake without a choice by room uses
// that of the division.
func TestCellIsChosenAsBeforeWithoutRoom(t *testing.T) {
	cells := &bbrcell.Cells{Sizes: []int{64, 64, 64}}
	intake := &Intake{
		Cells:  func() *bbrcell.Cells { return cells },
		Config: func() *bbrwork.Config { return bbrwork.NewConfig(1, nil, nil, bbrwork.Limits{}) },
	}
	for _, id := range []string{firstID, secondID, "7", "8"} {
		job := &bbrwork.Job{ID: id, Service: "press"}
		require.Equal(t, cells.ChooseForJob(job, 0), intake.chooseCell(job, time.Now()))
	}
}
