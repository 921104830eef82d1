package bbrsoak

import (
	"bytes"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestShortSoak plays one seed for a short time.
func TestShortSoak(t *testing.T) {
	daemon := filepath.Join(t.TempDir(), "bluebellridged")
	build := exec.Command("go", "build", "-o", daemon, "github.com/bluebellridge/bluebellridge/cmd/bluebellridged")
	output, err := build.CombinedOutput()
	require.NoError(t, err, string(output))

	var told bytes.Buffer
	s := &Soak{Seed: 20261204, For: 8 * time.Second, Daemon: daemon, Entries: 3, Workers: 6, Dir: t.TempDir(), Out: &told}
	faults, err := s.Run(t.Context())
	t.Log(told.String())
	require.NoError(t, err)
	require.Empty(t, faults)
}
