package bbrmetric

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	dto "github.com/prometheus/client_model/go"
	"k8s.io/klog/v2"
)

// Reporter periodically logs by how much the counters have increased, so that the log
// alone shows the volume of events that have no line of their own.
type Reporter struct {
	Registry *prometheus.Registry
	// Interval is the time between two reports.
	Interval time.Duration

	// previous are the counts at the last report, by metric name.
	previous map[string]float64
}

// Run reports until ctx ends.
func (r *Reporter) Run(ctx context.Context) {
	ticker := time.NewTicker(r.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.report()
		}
	}
}

func (r *Reporter) report() {
	families, err := r.Registry.Gather()
	if err != nil {
		klog.ErrorS(err, "Metrics cannot be gathered")
		return
	}
	counts := make(map[string]float64)
	for _, family := range families {
		for _, metric := range family.GetMetric() {
			if value, ok := countOf(metric); ok {
				counts[metricName(family, metric)] = value
			}
		}
	}
	var fields []any
	names := make([]string, 0, len(counts))
	for name := range counts {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		if increase := counts[name] - r.previous[name]; increase > 0 {
			fields = append(fields, name, increase)
		}
	}
	r.previous = counts
	klog.InfoS("Counters increased", fields...)
}

// countOf returns the value of a counter or the number of observations of a
// histogram, and reports whether the metric is one of these.
func countOf(metric *dto.Metric) (float64, bool) {
	switch {
	case metric.GetCounter() != nil:
		return metric.GetCounter().GetValue(), true
	case metric.GetHistogram() != nil:
		return float64(metric.GetHistogram().GetSampleCount()), true
	default:
		return 0, false
	}
}

// metricName returns the name of a metric, without its prefix and with the values of
// its labels.
func metricName(family *dto.MetricFamily, metric *dto.Metric) string {
	parts := []string{strings.TrimPrefix(family.GetName(), "bbr_")}
	for _, label := range metric.GetLabel() {
		parts = append(parts, label.GetValue())
	}
	return strings.Join(parts, ".")
}
