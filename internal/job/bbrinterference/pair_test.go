package bbrinterference

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestEvidenceFromOneBucketIsNoPair guards against evidence that rests on one upstream or on
// one period, where something else made an image slow beside the neighbour: as certain as
// it is there, the others say otherwise.
func TestEvidenceFromOneBucketIsNoPair(t *testing.T) {
	tests := map[string]struct {
		// slow reports whether the neighbour slows down on the upstream, of four, in the
		// period, of six.
		slow func(upstream, period int) bool
		want bool
	}{
		"everywhere":      {slow: func(int, int) bool { return true }, want: true},
		"nowhere":         {slow: func(int, int) bool { return false }},
		"one upstream":    {slow: func(upstream, _ int) bool { return upstream == 0 }},
		"half of them":    {slow: func(upstream, _ int) bool { return upstream < 2 }},
		"one period":      {slow: func(_, period int) bool { return period == 0 }},
		"half of the day": {slow: func(_, period int) bool { return period < 3 }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			p := &pair{at: now}
			for period := range 6 {
				for n := range 200 {
					upstream, exposed := n%4, float64(n/4%2)
					slowdown := 0.01 * float64(n%7-3)
					if test.slow(upstream, period) {
						slowdown += 2 * (exposed - 0.5)
					}
					p.add(uint8(upstream), exposed-0.5, slowdown, exposed, 1, now)
				}
				now = now.Add(periodLength)
			}
			require.Equal(t, test.want, p.interferes())
			require.Equal(t, name != "nowhere", p.effect() > minEffect)
		})
	}
}
