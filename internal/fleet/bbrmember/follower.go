package bbrmember

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrmetric"
	"github.com/bluebellridge/bluebellridge/internal/base/bbrpause"
	"github.com/bluebellridge/bluebellridge/internal/config/bbrrevision"
	"github.com/bluebellridge/bluebellridge/internal/daemon/bbrentry"
	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrview"
	"github.com/bluebellridge/bluebellridge/internal/platform/bbrstore"
)

const (
	// viewWatchTimeout bounds a watch of the view. It is below the fence's timeout,
	// because a watch confirms the registration as of its beginning.
	viewWatchTimeout   = 2 * time.Second
	configWatchTimeout = 20 * time.Second
	// minRetryPause and longestPause bound the pause after a failed call. Pauses
	// are drawn at random, so that entries come back one by one after an
	// outage of the platform.
	minRetryPause = 200 * time.Millisecond
	maxRetryPause = 3 * time.Second
)

// Follower keeps one document of the platform known.
type Follower struct {
	Store *bbrstore.Store
	Key   string
	// WatchTimeout bounds one watch.
	WatchTimeout time.Duration
	Metrics      *bbrmetric.Set
	// Known returns the version that is known already.
	Known func() uint64
	// Accept takes a new value, read by a call that began at asked.
	Accept func(value bbrstore.Value, asked time.Time)
	// Unchanged is called when a watch that began at asked found nothing new.
	Unchanged func(ctx context.Context, known uint64, asked time.Time)
}

// run watches until ctx ends.
func (f *Follower) run(ctx context.Context) {
	reachable := true
	pause := minRetryPause
	for ctx.Err() == nil {
		known := f.Known()
		requestedAt := time.Now()
		value, err := f.Store.Watch(ctx, f.Key, known, f.WatchTimeout)
		switch {
		case err == nil:
			f.Accept(value, requestedAt)
			if f.Known() == known {
				// The platform holds an older value than the known one, or one
				// that cannot be read, and would answer the next watch at once.
				f.Metrics.Event("staleValue")
				f.backOff(ctx, &pause)
				continue
			}
		case errors.Is(err, bbrstore.ErrUnchanged):
			f.Unchanged(ctx, known, requestedAt)
		case ctx.Err() != nil:
			return
		default:
			f.logReachability(&reachable, false, err)
			f.backOff(ctx, &pause)
			continue
		}
		f.logReachability(&reachable, true, nil)
		pause = minRetryPause
	}
}

// backOff waits for about the given time and doubles it.
func (f *Follower) backOff(ctx context.Context, pause *time.Duration) {
	bbrpause.For(ctx, *pause/2+rand.N(*pause))
	*pause = min(2**pause, maxRetryPause)
}

// logReachability logs when the platform goes away and when it is back.
func (f *Follower) logReachability(current *bool, reachable bool, err error) {
	if *current == reachable {
		return
	}
	*current = reachable
	if reachable {
		f.Metrics.Event("platformReachable")
		klog.InfoS("Platform is reachable again", "key", f.Key)
		return
	}
	f.Metrics.Event("platformUnreachable")
	klog.InfoS("Platform is unreachable", "key", f.Key, "err", err)
}

// confirmIfListed confirms the registration if the view, which the platform
// held at asked or later, shows it.
func confirmIfListed(state *bbrentry.State, view *bbrview.View, requestedAt time.Time) {
	own := view.Entries[state.Identity.Peer]
	if own.Incarnation == state.Identity.Incarnation && !own.Suspected() {
		state.ConfirmedByPlatform(requestedAt)
	}
}

// acceptView returns the Accept of a zone's view.
func acceptView(state *bbrentry.State) func(bbrstore.Value, time.Time) {
	return func(value bbrstore.Value, requestedAt time.Time) {
		var view bbrview.View
		if err := json.Unmarshal(value.Data, &view); err != nil {
			klog.ErrorS(err, "View cannot be read", "version", value.Version)
			return
		}
		state.OfferView(view, value.Version, time.Now())
		confirmIfListed(state, &view, requestedAt)
	}
}

// acceptConfig returns the Accept of the configuration.
func acceptConfig(state *bbrentry.State) func(bbrstore.Value, time.Time) {
	return func(value bbrstore.Value, _ time.Time) {
		revision := &bbrrevision.Revision{Number: value.Version}
		if err := json.Unmarshal(value.Data, &revision.Config); err != nil {
			klog.ErrorS(err, "Configuration cannot be read", "revision", value.Version)
			return
		}
		if state.OfferRevision(revision, time.Now()) {
			klog.InfoS("Configuration is in force", "revision", revision.Number)
		}
	}
}
