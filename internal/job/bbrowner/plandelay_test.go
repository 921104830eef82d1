package bbrowner

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	dto "github.com/prometheus/client_model/go"
	"github.com/stretchr/testify/require"
	"k8s.io/klog/v2"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrmetric"
)

// captureLog returns the buffer that receives the log until the test ends.
func captureLog(t *testing.T) *bytes.Buffer {
	t.Helper()
	state := klog.CaptureState()
	t.Cleanup(state.Restore)
	var out bytes.Buffer
	klog.LogToStderr(false)
	klog.SetOutput(&out)
	return &out
}

// histogramOf returns the histogram of a name, by the values of its labels.
func histogramOf(t *testing.T, metrics *bbrmetric.Set, name string) map[string]*dto.Histogram {
	t.Helper()
	families, err := metrics.Registry.Gather()
	require.NoError(t, err)
	histograms := make(map[string]*dto.Histogram)
	for _, family := range families {
		if family.GetName() != name {
			continue
		}
		for _, metric := range family.GetMetric() {
			var labels []string
			for _, label := range metric.GetLabel() {
				labels = append(labels, label.GetValue())
			}
			histograms[strings.Join(labels, ",")] = metric.GetHistogram()
		}
	}
	return histograms
}

// TestPlanDelay checks that the delay is what exceeds the interval, and that late rounds
// are logged at most once a second, with the number of those that were left out.
func TestPlanDelay(t *testing.T) {
	start := time.Unix(1000, 0)
	var d planDelays
	_, measured := d.begin(start)
	require.False(t, measured, "the first round has no predecessor")
	tests := []struct {
		name    string
		at      time.Duration
		delay   time.Duration
		logged  bool
		omitted int
	}{
		{name: "woken early", at: 20 * time.Millisecond},
		{name: "in time", at: 120 * time.Millisecond},
		{name: "at the bound", at: 720 * time.Millisecond, delay: 500 * time.Millisecond},
		{name: "late", at: 1500 * time.Millisecond, delay: 680 * time.Millisecond, logged: true},
		{name: "late again", at: 2300 * time.Millisecond, delay: 700 * time.Millisecond},
		{name: "still late", at: 3100 * time.Millisecond, delay: 700 * time.Millisecond, logged: true, omitted: 1},
		{name: "very late", at: 9200 * time.Millisecond, delay: 6 * time.Second, logged: true},
	}
	for _, test := range tests {
		now := start.Add(test.at)
		delay, measured := d.begin(now)
		require.True(t, measured)
		require.Equal(t, test.delay, delay, test.name)
		omitted, logged := d.mustLog(delay, now)
		require.Equal(t, test.logged, logged, test.name)
		require.Equal(t, test.omitted, omitted, test.name)
	}
}

// TestLatePlanningRoundsAreVisible guards against an owner in office whose planning rounds
// are late without any trace in log and metrics.
func TestLatePlanningRoundsAreVisible(t *testing.T) {
	tests := []struct {
		name      string
		roundTime time.Duration
		late      bool
	}{
		{name: "slow", roundTime: 700 * time.Millisecond, late: true},
		{name: "in time", roundTime: 20 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			log := captureLog(t)
			late := uint64(0)
			synctest.Test(t, func(t *testing.T) {
				o := newLoopOwner(test.roundTime)
				ctx, cancel := context.WithTimeout(t.Context(), 7*time.Second)
				defer cancel()
				o.loop(ctx)
				delays := histogramOf(t, o.Metrics, "bbr_plan_delay_seconds")[""]
				require.NotZero(t, delays.GetSampleCount())
				late = delays.GetSampleCount()
				for _, bucket := range delays.GetBucket() {
					if bucket.GetUpperBound() == 0.5 {
						late -= bucket.GetCumulativeCount()
					}
				}
			})
			klog.Flush()
			lines := strings.Count(log.String(), `"Planning rounds are late" shard="press/2" token=7 delay="600ms" lastPlanTook="700ms"`)
			if !test.late {
				require.Zero(t, late)
				require.Zero(t, lines)
				return
			}
			// Rounds begin every 700 ms, so that every other one is logged.
			require.GreaterOrEqual(t, late, uint64(9))
			require.Equal(t, int(late+1)/2, lines, log.String())
		})
	}
}
