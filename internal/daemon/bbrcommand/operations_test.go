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
	// quotedMessage is a log line as the page shows it, by its text.
	quotedMessage = regexp.MustCompile(`(?m)^    "([A-Z][^"]+)"`)
	// namedMessage is a log line that the page's table names.
	namedMessage = regexp.MustCompile("`([A-Z][a-z][^`=]+)`")
)

// TestOperationsPageQuotesExistingMessages holds that each log line that the page tells
// operators to look for is written somewhere.
func TestOperationsPageQuotesExistingMessages(t *testing.T) {
	page, err := os.ReadFile(operationsPath)
	require.NoError(t, err)
	names := make(map[string]bool)
	for _, pattern := range []*regexp.Regexp{quotedMessage, namedMessage} {
		for _, match := range pattern.FindAllStringSubmatch(string(page), -1) {
			names[match[1]] = true
		}
	}
	require.Greater(t, len(names), 20)
	source := readSource(t, "../../../internal")
	for name := range names {
		require.Contains(t, source, `"`+name+`"`, "the page names a line that nothing writes")
	}
}

func readSource(t *testing.T, root string) string {
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

// TestOperationsPageExplainsEachWaitReason holds that each reason in the logs and
// metrics is explained.
func TestOperationsPageExplainsEachWaitReason(t *testing.T) {
	page, err := os.ReadFile(operationsPath)
	require.NoError(t, err)
	for _, reason := range bbrscheduler.Reasons {
		require.Contains(t, string(page), "`"+string(reason)+"`")
	}
}
