package bbrapi

import (
	"github.com/cockroachdb/errors"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrcode"
	"github.com/bluebellridge/bluebellridge/internal/platform/bbrstore"
)

// storeErrorCode returns the result code for an error of the platform's store.
func storeErrorCode(err error) bbrcode.Code {
	switch {
	case errors.Is(err, bbrstore.ErrAnswerLost):
		return bbrcode.WriteUnknown
	case errors.Is(err, bbrstore.ErrConflict):
		return bbrcode.Conflict
	default:
		return bbrcode.PlatformUnavailable
	}
}

func codedError(err error) *bbrcode.Error {
	var coded *bbrcode.Error
	if errors.As(err, &coded) {
		return coded
	}
	return nil
}
