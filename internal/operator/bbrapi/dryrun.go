package bbrapi

import (
	"context"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrcode"
	"github.com/bluebellridge/bluebellridge/internal/platform/bbrstore"
)

// simulate reports whether a change of the stored document would be accepted,
// without storing anything.
func simulate[T any](ctx context.Context, document bbrstore.Document[T], change func(doc *T) error) Result {
	doc, _, err := document.Load(ctx)
	if err == nil {
		err = change(&doc)
	}
	if err != nil {
		return ErrorResult(err)
	}
	return dryRunResult()
}

func dryRunResult() Result {
	return Result{Code: bbrcode.DryRun, Name: bbrcode.DryRun.String(), Text: bbrcode.DryRun.Info().Text}
}
