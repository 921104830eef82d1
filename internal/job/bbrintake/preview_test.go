package bbrintake

import (
	"maps"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrcode"
	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrcell"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrfairshare"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrrecord"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// TestPreviewAnswersAsSubmissionsAre guards against a preview whose code differs from that
// of the submission, and against one that stores anything.
func TestPreviewAnswersAsSubmissionsAre(t *testing.T) {
	const longBody = 101
	tests := []struct {
		name    string
		in      PreviewRequest
		key     string
		change  func(h *Handler)
		code    bbrcode.Code
		invalid bool
		// retryAfter is the header of the answer if it is not the code's own.
		retryAfter string
	}{
		{name: "accepted", in: PreviewRequest{Queue: "proofs", ID: pressJob, Organisation: "press"}, key: pressKey, code: bbrcode.Accepted},
		{name: "by path", in: PreviewRequest{Queue: proofsHost + proofsPath + pressJob, Organisation: "press"}, key: pressKey, code: bbrcode.Accepted},
		{name: "public", in: PreviewRequest{Queue: "public", ID: publicJob}, code: bbrcode.Accepted},
		{name: "no key", in: PreviewRequest{Queue: "proofs", ID: pressJob}, code: bbrcode.KeyMissing},
		{name: "stored", in: PreviewRequest{Queue: "proofs", ID: "00000000000000c1", Organisation: "press"}, key: pressKey, code: bbrcode.AlreadyStored},
		{name: "stored by others", in: PreviewRequest{Queue: "proofs", ID: "00000000000000c1", Organisation: "archive"}, key: archiveKey, code: bbrcode.ForeignJob},
		{name: "store away", in: PreviewRequest{Queue: "public", ID: publicJob}, code: bbrcode.StoreUnavailable,
			change: func(h *Handler) { h.Intake.StoreAvailable = func(time.Time) bool { return false } }},
		{name: "beyond its share", in: PreviewRequest{Queue: "proofs", ID: pressJob, Organisation: "press"}, key: pressKey, code: bbrcode.BeyondShare, change: expectWait, retryAfter: "5"},
		{name: "beyond its share and stored", in: PreviewRequest{Queue: "proofs", ID: "00000000000000c1", Organisation: "press"}, key: pressKey, code: bbrcode.AlreadyStored, change: expectWait},
		{name: "beyond its share and too large for the store", in: PreviewRequest{Queue: "proofs", ID: pressJob, Organisation: "press"}, key: pressKey, code: bbrcode.BeyondShare, retryAfter: "5",
			change: func(h *Handler) {
				expectWait(h)
				h.Intake.Store.MaxValueBytes = 10
			}},
		{name: "too large for the store", in: PreviewRequest{Queue: "public", ID: publicJob}, code: bbrcode.BadJob,
			change: func(h *Handler) { h.Intake.Store.MaxValueBytes = 10 }},
		{name: "unknown path", in: PreviewRequest{Queue: proofsHost + "/nothing/" + pressJob}, code: bbrcode.UnknownQueue, invalid: true},
		{name: "invalid ID", in: PreviewRequest{Queue: "public", ID: "7"}, code: bbrcode.BadJob, invalid: true},
		{name: "invalid body", in: PreviewRequest{Queue: "public", ID: publicJob, Body: []byte("no")}, code: bbrcode.BadJob, invalid: true,
			change: func(h *Handler) {
				h.Codec.DecodeSubmission = func([]byte) (*bbrwork.Job, error) { return nil, errors.New("not JSON") }
			}},
		{name: "long body", in: PreviewRequest{Queue: "public", ID: publicJob, Body: make([]byte, longBody)}, code: bbrcode.BodyTooLarge, invalid: true},
		{name: "not configured", in: PreviewRequest{Queue: "public", ID: publicJob}, code: bbrcode.NotReady, invalid: true,
			change: func(h *Handler) { h.Intake.Config = func() *bbrwork.Config { return nil } }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h, memory := newKeyHandler(t)
			h.Intake.Jobs = JobCache{}
			require.Equal(t, http.StatusOK, call(h, http.MethodPost, proofsPath+"00000000000000c1", pressKey, strings.NewReader("{}")).Code)
			if test.change != nil {
				test.change(h)
			}
			stored := maps.Clone(memory.items)
			preview, err := h.Preview(t.Context(), test.in, time.Now())
			require.Equal(t, stored, memory.items, "nothing is stored")
			if test.invalid {
				require.Equal(t, test.code, bbrcode.From(err, 0))
			} else {
				require.NoError(t, err)
				require.Equal(t, test.code, preview.Code, preview.Detail)
				if test.retryAfter == "" {
					require.Zero(t, preview.RetryAfter)
				} else {
					require.Equal(t, test.retryAfter+"s", preview.RetryAfter.String())
				}
			}
			path := test.in.Queue
			switch test.in.Queue {
			case "proofs":
				path = proofsHost + proofsPath + test.in.ID
			case "public":
				path = proofsHost + publicPath + test.in.ID
			}
			answer := call(h, http.MethodPost, strings.TrimPrefix(path, proofsHost), test.key, strings.NewReader(string(test.in.Body)))
			require.Equal(t, test.code.Info().Status, answer.Code)
			if test.retryAfter != "" {
				require.Equal(t, test.retryAfter, answer.Header().Get("Retry-After"))
			}
			if answer.Code >= http.StatusMultipleChoices {
				require.Contains(t, answer.Body.String(), `"`+test.code.String()+`"`)
			}
		})
	}
}

// expectWait lets the owner expect a wait for which jobs are refused.
func expectWait(h *Handler) {
	h.Intake.ExpectedWait = func(bbrwork.Shard, string, string, time.Time) (bbrfairshare.Wait, bool) {
		return bbrfairshare.Wait{Expected: 4100 * time.Millisecond, Beyond: true}, true
	}
}

// TestPreviewOfJob checks the job that the owner is asked about: it must be the one that
// would be stored.
func TestPreviewOfJob(t *testing.T) {
	h, memory := newKeyHandler(t)
	_, err := h.Preview(t.Context(), PreviewRequest{Queue: "proofs", Organisation: "nobody"}, time.Now())
	require.Equal(t, bbrcode.UnknownName, bbrcode.From(err, 0))

	now := time.Now()
	preview, err := h.Preview(t.Context(), PreviewRequest{Queue: "proofs", Organisation: "press"}, now)
	require.NoError(t, err)
	require.Len(t, preview.Assumed, 2, "neither an ID nor a body is given")
	require.Equal(t, bbrcell.ReasonOnlyCell, preview.Reason)
	require.NoError(t, preview.Job.Validate())

	h.Intake.PreviewCell = func(*bbrcell.Cells, *bbrwork.Job, int, time.Time) (int, bbrcell.Reason) {
		return 4, bbrcell.ReasonRoomMoved
	}
	h.Intake.ChooseCell = func(*bbrcell.Cells, *bbrwork.Job, int, time.Time) int { return 4 }
	preview, err = h.Preview(t.Context(), PreviewRequest{Queue: "proofs", ID: pressJob, Organisation: "press", Body: []byte("{}")}, now)
	require.NoError(t, err)
	require.Empty(t, preview.Assumed)
	require.Equal(t, bbrcell.ReasonRoomMoved, preview.Reason)
	queue := h.Intake.Config().Queues["proofs"]
	code, _ := h.Intake.Submit(t.Context(), &bbrwork.Job{Organisation: "press"}, queue, pressJob, now.Add(callTimeout), now)
	require.Equal(t, bbrcode.Accepted, code)
	record, err := bbrrecord.EncodeJob(preview.Job)
	require.NoError(t, err)
	require.JSONEq(t, string(memory.items[bbrrecord.JobKey(bbrwork.Shard{Service: "press", Cell: 4}, pressJob)]), string(record))
}
