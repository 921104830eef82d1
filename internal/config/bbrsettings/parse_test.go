package bbrsettings

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrcode"
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

// TestFairSharesNeedTheFleetProtocol guards against a setting that is accepted and has no
// effect, or has one that was not asked for.
func TestFairSharesNeedTheFleetProtocol(t *testing.T) {
	tests := []struct {
		name, settings string
		enabled        bool
		invalid        string
	}{
		{name: "off by default", settings: "platform: {protocol: fleet}\n"},
		{name: "on", settings: "platform: {protocol: fleet}\njobs:\n  fairShares: true\n", enabled: true},
		{name: "protocol without jobs", settings: "platform: {protocol: own}\njobs:\n  fairShares: true\n", enabled: true, invalid: "line 3, column 3: jobs.fairShares"},
		{name: "balance without jobs", settings: "platform: {protocol: own}\njobs:\n  balanceByCapacity: true\n", invalid: "line 3, column 3: jobs.balanceByCapacity"},
		{name: "refusals without shares", settings: "platform: {protocol: fleet}\njobs:\n  refuseBeyondShare: true\n", invalid: "line 3, column 3: jobs.refuseBeyondShare"},
		{name: "not a boolean", settings: "platform: {protocol: fleet}\njobs:\n  fairShares: 3\n", invalid: "line 3, column 15: jobs.fairShares"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			settings, errs := Parse([]byte(test.settings))
			require.Equal(t, test.enabled, settings.Jobs.FairShares)
			invalid := ""
			for _, err := range errs {
				if err.Code == bbrcode.SettingsInvalid {
					invalid = err.Place
				}
			}
			require.Equal(t, test.invalid, invalid)
		})
	}
}
