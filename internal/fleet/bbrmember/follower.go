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
	// viewWatchTimeout bounds a watch of the view. It is shorter than the fence's
	// timeout, because a watch confirms the registration as of the watch's beginning.
	viewWatchTimeout   = 2 * time.Second
	configWatchTimeout = 20 * time.Second
	// minRetryPause and maxRetryPause bound the mean pause after a failed call. Pauses
	// are randomized, so that the entries do not all return at once after an outage
	// of the platform.
	minRetryPause = 200 * time.Millisecond
	maxRetryPause = 3 * time.Second
)

// Follower follows the changes of one document in the platform.
type Follower struct {
	Store *bbrstore.Store
	Key   string
	// WatchTimeout bounds one watch.
	WatchTimeout time.Duration
	Metrics      *bbrmetric.Set
	// Known returns the version that is known already.
	Known func() uint64
	// Accept is called with a value that was read by a call begun at requestedAt.
	Accept func(value bbrstore.Value, requestedAt time.Time)
	// Unchanged is called if a watch begun at requestedAt found no version newer than
	// the known one.
	Unchanged func(ctx context.Context, known uint64, requestedAt time.Time)
}

// run watches the document until ctx ends.
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
				// The platform has an older value than the known one, or one that
				// cannot be decoded, and would answer the next watch at once.
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

// backOff waits for about the pause, and doubles the pause up to maxRetryPause.
func (f *Follower) backOff(ctx context.Context, pause *time.Duration) {
	bbrpause.For(ctx, *pause/2+rand.N(*pause))
	*pause = min(2**pause, maxRetryPause)
}

// logReachability logs and counts when the platform becomes unreachable, and when
// it is reachable again.
func (f *Follower) logReachability(current *bool, reachable bool, err error) {
	if *current == reachable {
		return
	}
	*current = reachable
	if reachable {
		f.Metrics.Event("platformReachable")
		klog.InfoS("Platform reachable again", "key", f.Key)
		return
	}
	f.Metrics.Event("platformUnreachable")
	klog.InfoS("Platform unreachable", "key", f.Key, "err", err)
}

// confirmIfListed confirms the registration if the view lists it as not suspected.
// The view must have been the platform's newest at requestedAt or later.
func confirmIfListed(state *bbrentry.State, view *bbrview.View, requestedAt time.Time) {
	own := view.Entries[state.Identity.Peer]
	if own.Incarnation == state.Identity.Incarnation && !own.Suspected() {
		state.ConfirmedByPlatform(requestedAt)
	}
}

// acceptView returns the Accept function for the view of a zone.
func acceptView(state *bbrentry.State) func(bbrstore.Value, time.Time) {
	return func(value bbrstore.Value, requestedAt time.Time) {
		var view bbrview.View
		if err := json.Unmarshal(value.Data, &view); err != nil {
			klog.ErrorS(err, "Failed to decode the zone's view", "version", value.Version)
			return
		}
		state.OfferView(view, value.Version, time.Now())
		confirmIfListed(state, &view, requestedAt)
	}
}

// acceptConfig returns the Accept function for the configuration.
func acceptConfig(state *bbrentry.State) func(bbrstore.Value, time.Time) {
	return func(value bbrstore.Value, _ time.Time) {
		revision := &bbrrevision.Revision{Number: value.Version}
		if err := json.Unmarshal(value.Data, &revision.Config); err != nil {
			klog.ErrorS(err, "Failed to decode the configuration", "revision", value.Version)
			return
		}
		if state.OfferRevision(revision, time.Now()) {
			klog.InfoS("Configuration in force", "revision", revision.Number)
		}
	}
}
