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
	// quotedMessage matches the message of an example log line in the page.
	quotedMessage = regexp.MustCompile(`(?m)^    "([A-Z][^"]+)"`)
	// namedMessage matches a log message named in the page's tables.
	namedMessage = regexp.MustCompile("`([A-Z][a-z][^`=]+)`")
)

// TestOperationsPageQuotesExistingMessages checks that each log message that the page
// tells operators to look for occurs in the source.
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
		require.Contains(t, source, `"`+name+`"`, "the page names a log message that is not in the source")
	}
}

// readSource returns all Go files under root except tests, joined.
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

// TestOperationsPageExplainsEachWaitReason checks that the page explains each reason
// of a wait that logs and metrics have.
func TestOperationsPageExplainsEachWaitReason(t *testing.T) {
	page, err := os.ReadFile(operationsPath)
	require.NoError(t, err)
	for _, reason := range bbrscheduler.Reasons {
		require.Contains(t, string(page), "`"+string(reason)+"`")
	}
}
