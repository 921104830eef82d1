package bbrcoordinator

import (
	"context"

	"go.uber.org/fx"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrmetric"
	"github.com/bluebellridge/bluebellridge/internal/config/bbrsettings"
	"github.com/bluebellridge/bluebellridge/internal/daemon/bbrentry"
	"github.com/bluebellridge/bluebellridge/internal/daemon/bbrkernel"
	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrwithdrawal"
	"github.com/bluebellridge/bluebellridge/internal/peer/bbrlink"
	"github.com/bluebellridge/bluebellridge/internal/platform/bbrlist"
	"github.com/bluebellridge/bluebellridge/internal/platform/bbrstore"
)

func init() {
	bbrkernel.Register(bbrkernel.Plugin{
		Name:   "duty",
		Stage:  bbrkernel.StageCoordinator,
		Option: fx.Options(fx.Provide(newCoordinator), fx.Invoke(start)),
	})
}

// fenceTimeoutsUntilRemoval is how many fence timeouts pass before a suspected
// entry counts as stopped. One would suffice if all clocks ran at the same rate.
const fenceTimeoutsUntilRemoval = 2

func newCoordinator(settings bbrsettings.Settings, state *bbrentry.State, store *bbrstore.Store, list *bbrlist.List,
	client *bbrlink.Client, withdrawer *bbrwithdrawal.Withdrawer, metrics *bbrmetric.Set) *Coordinator {
	coordinator := &Coordinator{
		State:         state,
		Store:         store,
		List:          list,
		Collector:     &Collector{State: state, Client: client, Timeout: settings.Timing.Dial, SuspectAfter: settings.Timing.SuspectAfter},
		Prober:        &Prober{Timeout: settings.Timing.Dial},
		FenceExpiry:   &FenceExpiry{GracePeriod: fenceTimeoutsUntilRemoval * settings.Timing.Fence},
		RequestExpiry: &RequestExpiry{},
		Withdrawer:    withdrawer,
		Metrics:       metrics,
	}
	metrics.Gauge("bbr_duty", "1 while the entry holds its zone's maintenance duty.", func() float64 {
		if coordinator.HoldsLease() {
			return 1
		}
		return 0
	})
	return coordinator
}

func start(lifecycle fx.Lifecycle, coordinator *Coordinator) {
	ctx, cancel := context.WithCancel(context.Background())
	lifecycle.Append(fx.StartStopHook(
		func() { coordinator.Start(ctx) },
		func() {
			cancel()
			coordinator.Wait()
		}))
}
