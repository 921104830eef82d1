package bbrsettings

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestLimitsOfClientsAreValidated guards against limits that no client could keep to, or
// that bound nothing.
func TestLimitsOfClientsAreValidated(t *testing.T) {
	_, faults := Parse([]byte("limits: {descriptors: 100, connections: -1, bytesInFlight: -1, headerFields: 3, minTransferRate: 0}\ntiming: {stall: 1ms}\n"))
	var lines []string
	for _, fault := range faults {
		lines = append(lines, fault.Error())
	}
	for _, line := range []string{
		"5003 settingsInvalid at line 1, column 10: limits.descriptors: 100 is neither 0 nor from 400 to 1048576",
		"5003 settingsInvalid at line 1, column 28: limits.connections: -1 is not from 0 to 1048576",
		"5003 settingsInvalid at line 1, column 45: limits.bytesInFlight: -1 is not from 0 to 1099511627776",
		"5003 settingsInvalid at line 1, column 64: limits.headerFields: 3 is not from 16 to 10000",
		"5003 settingsInvalid at line 1, column 81: limits.minTransferRate: 0 is not from 1 to 1073741824",
		"5003 settingsInvalid at line 2, column 10: timing.stall: 1ms is not from 1s to 1h0m0s",
	} {
		require.Contains(t, lines, line)
	}
	_, faults = Parse([]byte("limits: {descriptors: 4100, connections: 100, bytesInFlight: 1000000, headerFields: 50, minTransferRate: 1000}\n"))
	for _, fault := range faults {
		require.NotContains(t, fault.Error(), "limits.")
	}
}
