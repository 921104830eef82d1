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
		Option: fx.Options(fx.Provide(newDuty), fx.Invoke(start)),
	})
}

// fencesWaited is how many fence timeouts pass before a marked entry counts as
// stopped. One would do if clocks ran at the same rate.
const fencesWaited = 2

func newDuty(settings bbrsettings.Settings, state *bbrentry.State, store *bbrstore.Store, list *bbrlist.List,
	client *bbrlink.Client, withdrawer *bbrwithdrawal.Withdrawer, metrics *bbrmetric.Set) *Coordinator {
	duty := &Coordinator{
		State:         state,
		Store:         store,
		List:          list,
		Collector:     &Collector{State: state, Client: client, Timeout: settings.Timing.Dial, SuspectAfter: settings.Timing.SuspectAfter},
		Prober:        &Prober{Timeout: settings.Timing.Dial},
		FenceExpiry:   &FenceExpiry{GracePeriod: fencesWaited * settings.Timing.Fence},
		RequestExpiry: &RequestExpiry{},
		Withdrawer:    withdrawer,
		Metrics:       metrics,
	}
	metrics.Gauge("bbr_duty", "1 while the entry holds its zone's maintenance duty.", func() float64 {
		if duty.HoldsLease() {
			return 1
		}
		return 0
	})
	return duty
}

func start(lifecycle fx.Lifecycle, duty *Coordinator) {
	running, cancel := context.WithCancel(context.Background())
	lifecycle.Append(fx.StartStopHook(
		func() { duty.Start(running) },
		func() {
			cancel()
			duty.Wait()
		}))
}
