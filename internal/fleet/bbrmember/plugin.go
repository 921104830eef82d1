package bbrmember

import (
	"context"

	"go.uber.org/fx"
	"k8s.io/klog/v2"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrmetric"
	"github.com/bluebellridge/bluebellridge/internal/config/bbrsettings"
	"github.com/bluebellridge/bluebellridge/internal/daemon/bbrentry"
	"github.com/bluebellridge/bluebellridge/internal/daemon/bbrkernel"
	"github.com/bluebellridge/bluebellridge/internal/peer/bbrlink"
	"github.com/bluebellridge/bluebellridge/internal/platform/bbrstore"
)

func init() {
	bbrkernel.Register(bbrkernel.Plugin{
		Name:   "member",
		Stage:  bbrkernel.StageMember,
		Option: fx.Options(fx.Provide(newMember), fx.Invoke(start)),
	})
}

func newMember(settings bbrsettings.Settings, state *bbrentry.State, store *bbrstore.Store, client *bbrlink.Client,
	directory *bbrlink.FreeSlotDirectory, metrics *bbrmetric.Set) *Member {
	return &Member{State: state, Store: store, Client: client, Directory: directory, Metrics: metrics, Seeds: settings.Peers}
}

func start(lifecycle fx.Lifecycle, member *Member) {
	running, cancel := context.WithCancel(context.Background())
	lifecycle.Append(fx.StartStopHook(
		func() { member.Start(running) },
		func(ctx context.Context) {
			defer member.Wait()
			defer cancel()
			if member.State.Acknowledge().ExcessInFlight > 0 || member.State.InFlight() > 0 {
				klog.InfoS("Registration kept because requests are in flight")
				return
			}
			if err := member.Leave(ctx); err != nil {
				klog.InfoS("Failed to remove the registration", "err", err)
			}
		}))
}
