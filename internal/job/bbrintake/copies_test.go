package bbrintake

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrcode"
)

// TestCopyOfAJobWithLostAnswerIsNotStoredTwice guards against two copies of a job in one batch
// that are both stored, when the answer to the transaction of the first one is lost.
func TestCopyOfAJobWithLostAnswerIsNotStoredTwice(t *testing.T) {
	for _, script := range []func(func() error) error{answerLostAfterCommit, answerLostBeforeCommit} {
		store := &scriptedStore{keys: make(map[string]bool), script: []func(func() error) error{script}}
		codes, _ := acceptAll(t, store, firstID, firstID)
		require.Contains(t, codes, bbrcode.AlreadyStored)
		require.NotEqual(t, []bbrcode.Code{bbrcode.Accepted, bbrcode.Accepted}, codes)
	}
}
