package bbrsettings

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestSeparateInterferingNeedsFleet checks that the setting is off by default, and refused
// with the protocol that has no jobs.
func TestSeparateInterferingNeedsFleet(t *testing.T) {
	require.False(t, Default().Jobs.SeparateInterfering)
	for protocol, refused := range map[string]bool{"own": true, "fleet": false} {
		settings, faults := Parse([]byte("platform: {protocol: " + protocol + "}\njobs: {separateInterfering: true}\n"))
		require.True(t, settings.Jobs.SeparateInterfering)
		found := false
		for _, fault := range faults {
			found = found || strings.Contains(fault.Error(), "5003 settingsInvalid at line 2, column 8: jobs.separateInterfering: needs platform.protocol fleet")
		}
		require.Equal(t, refused, found, "%s: %v", protocol, faults)
	}
	_, faults := Parse([]byte("jobs: {separateInterfering: 3}\n"))
	require.NotEmpty(t, faults)
	require.Contains(t, faults[0].Error(), "separateInterfering")
}
