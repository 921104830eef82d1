package bbrcommand

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrcode"
	"github.com/bluebellridge/bluebellridge/internal/config/bbrsettings"
	"github.com/bluebellridge/bluebellridge/internal/operator/bbrapi"
)

func TestExamplesAreValid(t *testing.T) {
	settings, err := filepath.Glob("../../../examples/*/entry*.yaml")
	require.NoError(t, err)
	require.NotEmpty(t, settings)
	for _, file := range settings {
		var out, errors bytes.Buffer
		require.Equal(t, exitOK, Main([]string{"check", file}, &out, &errors), errors.String())
	}
	configs, err := filepath.Glob("../../../examples/*/config.yaml")
	require.NoError(t, err)
	require.Len(t, configs, 3)
	for _, file := range configs {
		var out, errors bytes.Buffer
		require.Equal(t, exitOK, Main([]string{"check-config", file}, &out, &errors), errors.String())
	}
}

func TestParseReportsAllFaults(t *testing.T) {
	_, faults := bbrsettings.Parse([]byte("entry: a\nentry: b\nzone: \"\"\nlisten:\n  callers: nowhere\n  peers: 0.0.0.0:1\n  cellars: x\nlimits: {keys: 0}\ntiming:\n  fence: 1s\nshutdown: 5\n"))
	var lines []string
	for _, fault := range faults {
		lines = append(lines, fault.Error())
	}
	require.Equal(t, []string{
		`5002 settingsUnknown at line 2, column 1: entry: the field is given twice`,
		`5003 settingsInvalid at line 5, column 12: listen.callers: "nowhere" is not a netip.AddrPort`,
		`5002 settingsUnknown at line 7, column 3: listen.cellars: unknown field; allowed are callers, operators, peers, readiness, metrics, tls`,
		`5003 settingsInvalid at line 11, column 11: shutdown: must be a mapping of fields`,
		`5004 settingsMissing at line 3, column 1: zone: must name the availability zone`,
		`5004 settingsMissing at line 5, column 3: listen.callers: must be an IP address and port, such as 10.0.0.1:7001`,
		`5004 settingsMissing at line 4, column 1: listen.operators: must be an IP address and port, such as 10.0.0.1:7001`,
		`5004 settingsMissing at platform.address: must be an IP address and port, such as 10.0.0.1:7001`,
		`5003 settingsInvalid at line 6, column 3: listen.peers: must be an address that the other entries can reach`,
		`5004 settingsMissing at operators.token: must have at least 16 characters`,
		`5003 settingsInvalid at line 8, column 10: limits.keys: 0 is not from 1 to 1000000`,
		`5003 settingsInvalid at line 10, column 3: timing.fence: 1s is not from 3s to 1h0m0s`,
	}, lines)
}

// TestBalanceByCapacityNeedsPeers guards against an entry whose jobs are balanced by room
// that it cannot learn, and against links that are no numbers of megabits.
func TestBalanceByCapacityNeedsPeers(t *testing.T) {
	valid := "entry: a\nzone: z\nlisten: {callers: 10.0.0.1:1, readiness: 10.0.0.1:2, metrics: 10.0.0.1:3, peers: 10.0.0.1:4}\n" +
		"platform: {protocol: fleet, address: 10.0.0.2:1, machines: 10.0.0.2:2}\n" +
		"limits: {bandwidthMbps: 10}\njobs: {balanceByCapacity: true}\n"
	settings, faults := bbrsettings.Parse([]byte(valid))
	require.Empty(t, faults)
	require.True(t, settings.Jobs.BalanceByCapacity)
	require.InDelta(t, 10, settings.Limits.BandwidthMbps, 0)
	for replaced, by := range map[string]string{", peers: 10.0.0.1:4": "", "bandwidthMbps: 10": "bandwidthMbps: -1", "balanceByCapacity: true": "balanceByCapacity: 2"} {
		_, faults = bbrsettings.Parse([]byte(strings.Replace(valid, replaced, by, 1)))
		require.Len(t, faults, 1, by)
		require.Equal(t, bbrcode.SettingsInvalid, faults[0].Code)
	}
}

// TestReservationsNeedFleetProtocol guards against a setting that is accepted and then has
// no effect, or that is not a bool.
func TestReservationsNeedFleetProtocol(t *testing.T) {
	for _, test := range []struct{ text, want string }{
		{"jobs: {reservations: true}", "5003 settingsInvalid at line 1, column 8: jobs.reservations: needs platform.protocol fleet"},
		{"platform: {protocol: fleet}\njobs: {reservations: 2}", `5003 settingsInvalid at line 2, column 22: jobs.reservations: "2" is not a bool`},
		{"platform: {protocol: fleet}\njobs: {reservations: true}", ""},
	} {
		_, faults := bbrsettings.Parse([]byte(test.text))
		var got string
		for _, fault := range faults {
			if strings.Contains(fault.Error(), "jobs.") {
				got += fault.Error()
			}
		}
		require.Equal(t, test.want, got)
	}
}

// FuzzSettings checks that no input makes the parsers of settings and configuration
// panic.
func FuzzSettings(f *testing.F) {
	for _, file := range []string{"../../../examples/demo/config.yaml", "../../../examples/calibra/entry.yaml"} {
		data, err := os.ReadFile(file)
		require.NoError(f, err)
		f.Add(data)
	}
	f.Add([]byte("a: &x {b: *x}"))
	f.Add([]byte("listen: [1, {]"))
	f.Add([]byte("? {a: 1}\n: b"))
	f.Fuzz(func(t *testing.T, data []byte) {
		_, _ = bbrsettings.Parse(data)
		_, _ = bbrapi.ParseConfig(data)
	})
}
