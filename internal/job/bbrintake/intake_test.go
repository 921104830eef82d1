package bbrintake

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrcode"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrrecord"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
	"github.com/bluebellridge/bluebellridge/internal/store/bbritem"
)

// TestStateComesFromTheOwnerOrTheStore holds that the owner saves the reads of
// the store, and that only the store says that there is no such job.
func TestStateComesFromTheOwnerOrTheStore(t *testing.T) {
	ended := map[string][]byte{bbrrecord.EndedKey("stored"): bbrrecord.Encode(bbrrecord.Ended{State: bbrwork.Failed})}
	tests := []struct {
		name  string
		job   string
		known bool
		want  bbrwork.State
		code  bbrcode.Code
		reads int
	}{
		{name: "the owner knows", job: "owned", known: true, want: bbrwork.Running, code: bbrcode.StateTold},
		{name: "only the store knows", job: "stored", want: bbrwork.Failed, code: bbrcode.StateTold, reads: 1},
		{name: "nobody knows", job: "other", code: bbrcode.UnknownJob, reads: 3},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			reads := 0
			intake := &Intake{
				Store: &bbritem.Store{Get: func(_ context.Context, key string) (bbritem.Item, error) {
					reads++
					value, ok := ended[key]
					if !ok {
						return bbritem.Item{}, bbritem.ErrNotFound
					}
					return bbritem.Item{Key: key, Value: value}, nil
				}},
				AskOwner: func(_ context.Context, service, id string, _ time.Time) (bbrwork.State, bool) {
					require.Equal(t, "press", service)
					return bbrwork.Running, test.known
				},
			}
			state, code := intake.State(t.Context(), &bbrwork.Queue{Service: "press"}, test.job, time.Now())
			require.Equal(t, test.code, code)
			require.Equal(t, test.want, state)
			require.Equal(t, test.reads, reads)
		})
	}
}
