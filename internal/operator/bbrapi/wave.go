package bbrapi

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrcode"
	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrcoordinator"
	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrwave"
	"github.com/bluebellridge/bluebellridge/internal/operator/bbrlanguage"
	"github.com/bluebellridge/bluebellridge/internal/platform/bbrstore"
)

func (x *Executor) startWave(ctx context.Context, c *bbrlanguage.Start, request Request) Result {
	views, err := x.views(ctx)
	if err != nil {
		return ErrorResult(err)
	}
	wave, err := bbrwave.New(c.Name, c.Pool, request.Operation, views, time.Now())
	if err != nil {
		return ErrorResult(err)
	}
	create := func(w *bbrwave.Wave) error {
		if w.Status == bbrwave.Running {
			return bbrcode.Errorf(bbrcode.WrongState, c.Name, "a wave with this name has been running since %s", w.Since.Format(time.RFC3339))
		}
		*w = wave
		return nil
	}
	document := bbrcoordinator.WaveDocument(x.Store, bbrwave.KeyPrefix+c.Name)
	if request.DryRun {
		return simulate(ctx, document, create)
	}
	if _, _, err := document.Update(ctx, request.Operation, create); err != nil {
		return ErrorResult(err)
	}
	return Done(fmt.Sprintf("wave %s over %d instances", c.Name, len(wave.Instances)))
}

func haltWave(w *bbrwave.Wave) error   { return w.Halt(time.Now()) }
func resumeWave(w *bbrwave.Wave) error { return w.Resume(time.Now()) }

func (x *Executor) changeWave(ctx context.Context, name string, request Request, change func(w *bbrwave.Wave) error) Result {
	document := bbrcoordinator.WaveDocument(x.Store, bbrwave.KeyPrefix+name)
	if _, err := x.Store.Get(ctx, document.Key, 0); errors.Is(err, bbrstore.ErrNotFound) {
		return ErrorResult(bbrcode.Errorf(bbrcode.UnknownName, name, "no wave has this name"))
	}
	if request.DryRun {
		return simulate(ctx, document, change)
	}
	if _, _, err := document.Update(ctx, "", change); err != nil {
		return ErrorResult(err)
	}
	return Done("")
}
