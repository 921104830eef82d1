package bbrcommand

import (
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrcode"
)

// joinFaults returns one error with a line for each fault in the file, or nil if
// there are none.
func joinFaults(file string, faults []*bbrcode.Error) error {
	if len(faults) == 0 {
		return nil
	}
	lines := make([]string, len(faults))
	for i, fault := range faults {
		lines[i] = file + ": " + fault.Error()
	}
	return errors.New(strings.Join(lines, "\n"))
}
