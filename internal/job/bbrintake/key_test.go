package bbrintake

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrcode"
	"github.com/bluebellridge/bluebellridge/internal/base/bbrmetric"
	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrcell"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrrecord"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
	"github.com/bluebellridge/bluebellridge/internal/store/bbrkv"
)

// memoryStore is a store that keeps what is committed.
type memoryStore struct {
	mu    sync.Mutex
	items map[string][]byte
}

func (s *memoryStore) get(_ context.Context, key string) (bbrkv.Item, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	value, ok := s.items[key]
	if !ok {
		return bbrkv.Item{}, bbrkv.ErrNotFound
	}
	return bbrkv.Item{Key: key, Value: value, Revision: 1}, nil
}

func (s *memoryStore) commit(_ context.Context, transaction bbrkv.Transaction) (bbrkv.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	conflict := &bbrkv.Conflict{Items: make(map[string]bbrkv.Item)}
	for _, condition := range transaction.Conditions {
		if value, ok := s.items[condition.Key]; ok && condition.Revision == 0 {
			conflict.Items[condition.Key] = bbrkv.Item{Key: condition.Key, Value: value, Revision: 1}
		}
	}
	if len(conflict.Items) > 0 {
		return 0, conflict
	}
	for _, put := range transaction.Puts {
		s.items[put.Key] = put.Value
	}
	return 2, nil
}

// unreadableBody fails the test if it is read.
type unreadableBody struct{ t *testing.T }

func (b unreadableBody) Read([]byte) (int, error) {
	b.t.Error("the body of a request without a valid key is read")
	return 0, errors.New("unreadable")
}

const (
	pressKey    = "press-key-3f9a"
	archiveKey  = "archive-key-77"
	revokedKey  = "revoked-key-b2"
	proofsHost  = "print.example"
	proofsPath  = "/proofs/"
	publicPath  = "/public/"
	pressJob    = "00000000000000b1"
	publicJob   = "00000000000000b2"
	callTimeout = time.Second
)

// newKeyHandler returns a handler whose configuration has two organisations, a queue
// that needs a key and a public one.
func newKeyHandler(t *testing.T) (*Handler, *memoryStore) {
	t.Helper()
	queues := []*bbrwork.Queue{
		{Name: "proofs", Host: proofsHost, Prefix: proofsPath, Service: "press"},
		{Name: "public", Host: proofsHost, Prefix: publicPath, Service: "press", Public: true},
	}
	config, err := bbrwork.NewConfig(2, queues, nil, bbrwork.Limits{}).WithOrganisations([]*bbrwork.Organisation{
		{Name: "press", Keys: []bbrwork.KeyDigest{bbrwork.DigestKey(pressKey)}},
		{Name: "archive", Keys: []bbrwork.KeyDigest{bbrwork.DigestKey(archiveKey)}},
	})
	require.NoError(t, err)
	memory := &memoryStore{items: make(map[string][]byte)}
	store := &bbrkv.Store{Get: memory.get, Commit: memory.commit}
	acceptor := NewAcceptor(store)
	go acceptor.Run(t.Context())
	return &Handler{
		Intake: &Intake{
			Acceptor:       acceptor,
			Store:          store,
			Config:         func() *bbrwork.Config { return config },
			Cells:          func() *bbrcell.Cells { return nil },
			StoreAvailable: func(time.Time) bool { return true },
		},
		Codec: Codec{
			DecodeSubmission: func([]byte) (*bbrwork.Job, error) { return &bbrwork.Job{}, nil },
			ValidID:          func(id string) bool { return len(id) == len(pressJob) },
			Key:              func(header http.Header) string { return header.Get("Key") },
			Timeout:          func(http.Header, time.Duration) time.Duration { return callTimeout },
			StateBody:        func(state bbrwork.State) any { return state },
			WaitingBody:      func(waiting int) any { return waiting },
		},
		Metrics:      bbrmetric.New(),
		MaxBodyBytes: 100,
	}, memory
}

func call(h *Handler, method, path, key string, body *strings.Reader) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, "http://"+proofsHost+path, body)
	r.Header.Set("Key", key)
	w := httptest.NewRecorder()
	h.Router().ServeHTTP(w, r)
	return w
}

// TestCallersNeedAKey guards against requests that are served without a valid key: each
// call to a queue that is not public is refused at once, before its body is read, and
// nothing is stored.
func TestCallersNeedAKey(t *testing.T) {
	h, memory := newKeyHandler(t)
	for _, method := range []string{http.MethodPost, http.MethodGet, http.MethodDelete} {
		for key, code := range map[string]bbrcode.Code{"": bbrcode.KeyMissing, revokedKey: bbrcode.KeyUnknown} {
			r := httptest.NewRequest(method, "http://"+proofsHost+proofsPath+pressJob, unreadableBody{t})
			r.Header.Set("Key", key)
			w := httptest.NewRecorder()
			h.Router().ServeHTTP(w, r)
			require.Equal(t, http.StatusUnauthorized, w.Code)
			require.Contains(t, w.Body.String(), code.String())
			require.Equal(t, "Bearer", w.Header().Get("WWW-Authenticate"))
			if key != "" {
				require.NotContains(t, w.Body.String(), key)
			}
		}
	}
	require.Empty(t, memory.items)
	require.Equal(t, http.StatusOK, call(h, http.MethodPost, proofsPath+pressJob, pressKey, strings.NewReader("{}")).Code)
	require.Equal(t, http.StatusOK, call(h, http.MethodPost, publicPath+publicJob, "", strings.NewReader("{}")).Code)
}

// TestCallersNeedAKeyWithoutOrganisations guards against a configuration that lost its
// organisations: where the settings require keys, it admits nobody.
func TestCallersNeedAKeyWithoutOrganisations(t *testing.T) {
	h, _ := newKeyHandler(t)
	config := bbrwork.NewConfig(2, []*bbrwork.Queue{{Name: "proofs", Host: proofsHost, Prefix: proofsPath}}, nil, bbrwork.Limits{})
	h.Intake.Config = func() *bbrwork.Config { return config }
	h.RequireKeys = true
	require.Equal(t, http.StatusUnauthorized, call(h, http.MethodPost, proofsPath+pressJob, pressKey, strings.NewReader("{}")).Code)
	h.RequireKeys = false
	require.Equal(t, http.StatusOK, call(h, http.MethodPost, proofsPath+pressJob, "", strings.NewReader("{}")).Code)
}

// TestJobsOfOtherOrganisations guards against callers who read, cancel or resubmit the
// jobs of another organisation, at the entry that accepted the job and at others.
func TestJobsOfOtherOrganisations(t *testing.T) {
	for _, cached := range []bool{true, false} {
		h, memory := newKeyHandler(t)
		require.Equal(t, http.StatusOK, call(h, http.MethodPost, proofsPath+pressJob, pressKey, strings.NewReader("{}")).Code)
		require.Contains(t, string(memory.items[bbrrecord.StatusKey(pressJob)]), `"organisation":"press"`)
		if !cached {
			h.Intake.Jobs = JobCache{}
		}
		for _, method := range []string{http.MethodPost, http.MethodGet, http.MethodDelete} {
			require.Equal(t, http.StatusForbidden, call(h, method, proofsPath+pressJob, archiveKey, strings.NewReader("{}")).Code, method)
		}
		require.Equal(t, http.StatusForbidden, call(h, http.MethodGet, publicPath+pressJob, "", strings.NewReader("")).Code)
		require.Equal(t, http.StatusOK, call(h, http.MethodGet, proofsPath+pressJob, pressKey, strings.NewReader("")).Code)
		require.Equal(t, http.StatusOK, call(h, http.MethodDelete, proofsPath+pressJob, pressKey, strings.NewReader("")).Code)
	}
}
