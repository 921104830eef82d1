package bbrcommand

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrscheduler"
)

const operationsPath = "../../../docs/OPERATIONS.md"

var (
	// quotedLine is a log line as the page shows it, by its text.
	quotedLine = regexp.MustCompile(`(?m)^    "([A-Z][^"]+)"`)
	// namedLine is a log line that the page's table names.
	namedLine = regexp.MustCompile("`([A-Z][a-z][^`=]+)`")
)

// TestOperationsPageNamesRealLines holds that each log line that the page tells
// operators to look for is written somewhere.
func TestOperationsPageNamesRealLines(t *testing.T) {
	page, err := os.ReadFile(operationsPath)
	require.NoError(t, err)
	names := make(map[string]bool)
	for _, pattern := range []*regexp.Regexp{quotedLine, namedLine} {
		for _, match := range pattern.FindAllStringSubmatch(string(page), -1) {
			names[match[1]] = true
		}
	}
	require.Greater(t, len(names), 20)
	source := allSource(t, "../../../internal")
	for name := range names {
		require.Contains(t, source, `"`+name+`"`, "the page names a line that nothing writes")
	}
}

func allSource(t *testing.T, root string) string {
	var all strings.Builder
	require.NoError(t, filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		data, err := os.ReadFile(path)
		all.Write(data)
		return err
	}))
	return all.String()
}

// TestOperationsPageNamesEachReasonOfAWait holds that each reason in the logs and
// metrics is explained.
func TestOperationsPageNamesEachReasonOfAWait(t *testing.T) {
	page, err := os.ReadFile(operationsPath)
	require.NoError(t, err)
	for _, reason := range bbrscheduler.Reasons {
		require.Contains(t, string(page), "`"+string(reason)+"`")
	}
}
