package bbrcommand

import (
	"flag"
	"fmt"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"
	"go.uber.org/fx"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrmetric"
	"github.com/bluebellridge/bluebellridge/internal/config/bbrsettings"
	"github.com/bluebellridge/bluebellridge/internal/daemon/bbrkernel"
)

var update = flag.Bool("update", false, "update the documents and scripts that tests compare with the code")

const metricsPath = "../../../docs/metrics.md"

var descriptionParts = regexp.MustCompile(`fqName: "([^"]*)", help: "([^"]*)", .*variableLabels: \{([^}]*)\}`)

// renderMetrics returns the page of metrics as the code has them.
func renderMetrics(t *testing.T) string {
	var metrics *bbrmetric.Set
	app := fx.New(bbrkernel.Options(bbrsettings.Default()), fx.Populate(&metrics))
	require.NoError(t, app.Err())
	descriptions := make(chan *prometheus.Desc, 100)
	metrics.Registry.Describe(descriptions)
	close(descriptions)
	var rows []string
	for description := range descriptions {
		parts := descriptionParts.FindStringSubmatch(description.String())
		require.Len(t, parts, 4, description.String())
		rows = append(rows, fmt.Sprintf("| %s | %s | %s |\n", parts[1], parts[3], parts[2]))
	}
	slices.Sort(rows)
	return "# Metrics\n\nServed at `/metrics` of the operators' address. This page is written by\n" +
		"`go test ./internal/daemon/bbrcommand -update` and compared with the code by a test.\n\n" +
		"| name | labels | meaning |\n| --- | --- | --- |\n" + strings.Join(rows, "")
}

// TestMetricsPageIsUpToDate checks that the page lists exactly the metrics of the
// daemon. With -update it writes the page first.
func TestMetricsPageIsUpToDate(t *testing.T) {
	rendered := renderMetrics(t)
	if *update {
		require.NoError(t, os.WriteFile(metricsPath, []byte(rendered), 0o644))
	}
	data, err := os.ReadFile(metricsPath)
	require.NoError(t, err)
	require.Equal(t, rendered, string(data))
}
