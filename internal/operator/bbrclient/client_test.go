package bbrclient

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/operator/bbrapi"
)

// TestFileIsSentWithCommand checks that the client sends the file that a command names, and
// that one that cannot be sent is reported before anything is sent.
func TestFileIsSentWithCommand(t *testing.T) {
	var received []bbrapi.Request
	entry := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var request bbrapi.Request
		require.NoError(t, json.NewDecoder(r.Body).Decode(&request))
		received = append(received, request)
		_ = json.NewEncoder(w).Encode(bbrapi.Done("answered"))
	}))
	defer entry.Close()
	file := filepath.Join(t.TempDir(), "job.json")
	run := func(content string, command ...string) (int, string) {
		require.NoError(t, os.WriteFile(file, []byte(content), 0o600))
		var out, errors bytes.Buffer
		status := Main(t.Context(), append([]string{"--entry", strings.TrimPrefix(entry.URL, "http://")}, command...), strings.NewReader(""), &out, &errors)
		return status, out.String() + errors.String()
	}
	status, _ := run(`{"spec":"x"}`, "explain", "q-press", "file", file)
	require.Equal(t, ExitDone, status)
	require.JSONEq(t, `{"spec":"x"}`, string(received[0].Body))
	status, _ = run("{}", "show", "queues")
	require.Equal(t, ExitDone, status)
	require.Empty(t, received[1].Body)

	for content, expected := range map[string]string{"": "must have 1 to", strings.Repeat("x", maxFileBytes+1): "must have 1 to"} {
		status, text := run(content, "explain", "q-press", "file", file)
		require.Equal(t, ExitUsage, status)
		require.Contains(t, text, expected)
	}
	status, text := run("", "explain", "q-press", "file", file+".missing")
	require.Equal(t, ExitUsage, status)
	require.Contains(t, text, "no such file")
	require.Len(t, received, 2)
}
