package bbrcode

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

var update = flag.Bool("update", false, "write the documents that are held against the code")

const tablePath = "../../../docs/result-codes.md"

func renderTable() string {
	var b strings.Builder
	b.WriteString("# Result codes\n\nEvery answer carries one of these codes. This page is written by\n`go test ./internal/base/bbrcode -update` and held against the code by a test.\n\n")
	b.WriteString("| code | name | outcome | HTTP status | come back after | meaning |\n| --- | --- | --- | --- | --- | --- |\n")
	for _, info := range All() {
		retryAfter := "no"
		if info.RetryAfter > 0 {
			retryAfter = info.RetryAfter.String()
		}
		outcome := info.Outcome.String()
		if info.Code >= 4000 {
			outcome = "-"
		}
		fmt.Fprintf(&b, "| %d | %s | %s | %d | %s | %s |\n", info.Code, info.Name, outcome, info.Status, retryAfter, info.Text)
	}
	return b.String()
}

func TestTableInDocs(t *testing.T) {
	if *update {
		require.NoError(t, os.WriteFile(tablePath, []byte(renderTable()), 0o644))
	}
	data, err := os.ReadFile(tablePath)
	require.NoError(t, err)
	require.Equal(t, renderTable(), string(data))
}

func TestOutcomesMatchCodeRanges(t *testing.T) {
	names := make(map[string]Code)
	for _, info := range All() {
		require.NotEmpty(t, info.Name)
		require.NotContains(t, names, info.Name)
		names[info.Name] = info.Code
		switch info.Code / 1000 {
		case 1:
			require.Equal(t, OutcomeRan, info.Outcome, info.Name)
		case 2:
			require.Equal(t, OutcomeNotRun, info.Outcome, info.Name)
		case 3:
			require.Equal(t, OutcomeUnknown, info.Outcome, info.Name)
		}
		require.NotZero(t, info.Status, info.Name)
	}
	require.Equal(t, OutcomeUnknown, Code(9999).Info().Outcome)
}
