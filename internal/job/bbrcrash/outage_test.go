package bbrcrash

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestOutage(t *testing.T) {
	at := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	failed := func(after time.Duration, rack, zone string) Failure {
		return Failure{At: at.Add(after), Rack: rack, Zone: zone}
	}
	first := failed(0, "r-1", "a")
	for _, test := range []struct {
		name               string
		others             []Failure
		sameRack, sameZone int
		want               bool
	}{
		{"one upstream, the last of its rack", nil, 0, 5, false},
		{"two of a rack", []Failure{failed(0, "r-1", "a")}, 0, 5, false},
		{"a whole rack", []Failure{failed(0, "r-1", "a"), failed(time.Second, "r-1", "a")}, 0, 5, true},
		{"three of five of a rack", []Failure{failed(0, "r-1", "a"), failed(0, "r-1", "a")}, 2, 5, false},
		{"a rack one after the other", []Failure{failed(2*time.Second, "r-1", "a"), failed(4*time.Second, "r-1", "a")}, 0, 5, false},
		{"a zone over several racks", []Failure{failed(0, "r-2", "a"), failed(0, "r-3", "a"), failed(0, "r-4", "a")}, 0, 2, true},
		{"single ones in several zones", []Failure{failed(0, "r-2", "b"), failed(0, "r-3", "c"), failed(0, "r-4", "d")}, 0, 0, false},
	} {
		require.Equal(t, test.want, Outage(first, append(test.others, first), test.sameRack, test.sameZone), test.name)
	}
}
