package bbrlimit

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/config/bbrsettings"
)

// TestSizesFollowMemoryAndDescriptors guards against limits that a machine cannot hold,
// and against a limit of 0.
func TestSizesFollowMemoryAndDescriptors(t *testing.T) {
	cases := []struct {
		name               string
		memoryMB           int
		descriptors        int
		openFiles          int
		callers, readiness int
		bodyMB             int64
	}{
		{"smallest entry", 184, 4100, 1 << 20, 972, 32, 23},
		{"large entry", 536, 8192, 1 << 20, 3225, 32, 67},
		{"few descriptors", 536, 1000, 1 << 20, 400, 32, 67},
		{"descriptors of the process", 536, 0, 1000, 400, 32, 67},
		{"hardly any descriptors", 184, 0, 210, 16, 16, 23},
		{"little memory", 16, 4100, 1 << 20, 16, 32, 8},
		{"no limit of memory", 0, 0, 4200, 2000, 32, 2000},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			settings := bbrsettings.Default()
			settings.Limits.MemoryMB, settings.Limits.Descriptors = c.memoryMB, c.descriptors
			s := newSizes(&settings, c.openFiles)
			require.Equal(t, c.callers, s.connections[Callers])
			require.Equal(t, c.readiness, s.connections[Readiness])
			require.Equal(t, c.bodyMB, s.bodyBytes>>20)
		})
	}
	settings := bbrsettings.Default()
	settings.Limits.Connections, settings.Limits.BytesInFlight = 77, 99<<20
	s := newSizes(&settings, 4200)
	require.Equal(t, 77, s.connections[Callers])
	require.Equal(t, int64(99<<20), s.bodyBytes)
}

// TestLargestMessageIsAdmitted guards against a budget in which no message of the largest
// size has room.
func TestLargestMessageIsAdmitted(t *testing.T) {
	for _, bodyBytes := range []int64{1, 1000, 1 << 20, 16<<20 - 1, 16 << 20} {
		for _, memoryMB := range []int{0, 16, 184} {
			settings := bbrsettings.Default()
			settings.Limits.BodyBytes, settings.Limits.MemoryMB, settings.Platform.Protocol = bodyBytes, memoryMB, bbrsettings.ProtocolFleet
			m := message{charge: charge{budget: newBudget(newSizes(&settings, 4200).peerBytes)}}
			require.NoError(t, m.add(int(MaxMessageBytes(&settings.Limits))))
		}
	}
}
