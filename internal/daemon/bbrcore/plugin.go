package bbrcore

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/google/uuid"
	"go.uber.org/fx"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrmetric"
	"github.com/bluebellridge/bluebellridge/internal/base/bbrtraffic"
	"github.com/bluebellridge/bluebellridge/internal/config/bbrsettings"
	"github.com/bluebellridge/bluebellridge/internal/daemon/bbrentry"
	"github.com/bluebellridge/bluebellridge/internal/daemon/bbrkernel"
	"github.com/bluebellridge/bluebellridge/internal/daemon/bbrlimit"
	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrwithdrawal"
	"github.com/bluebellridge/bluebellridge/internal/peer/bbrlink"
	"github.com/bluebellridge/bluebellridge/internal/platform/bbrlist"
	"github.com/bluebellridge/bluebellridge/internal/platform/bbrstore"
)

func init() {
	bbrkernel.Register(bbrkernel.Plugin{
		Name:  "core",
		Stage: bbrkernel.StageCore,
		Option: fx.Provide(
			bbrmetric.New,
			bbrlimit.New,
			newState,
			newAdapter,
			(*bbrstore.Adapter).Store,
			bbrlist.NewList,
			newClient,
			func() *bbrlink.FreeSlotDirectory { return &bbrlink.FreeSlotDirectory{} },
			func(state *bbrentry.State, store *bbrstore.Store) *bbrwithdrawal.Withdrawer {
				return &bbrwithdrawal.Withdrawer{State: state, Store: store}
			},
		),
	})
}

func newState(settings bbrsettings.Settings, metrics *bbrmetric.Set) *bbrentry.State {
	state := bbrentry.New(bbrentry.Identity{
		Name:        settings.Entry,
		Zone:        settings.Zone,
		Incarnation: uuid.NewString(),
		Peer:        settings.Listen.Peers,
		Operators:   settings.Listen.Operators,
	}, settings.Timing.Fence, time.Now())
	registerGauges(state, metrics)
	return state
}

// maxIdleToPlatform bounds the idle connections to the platform. It is enough for
// two watches and a few concurrent calls.
const maxIdleToPlatform = 8

func newAdapter(settings bbrsettings.Settings, metrics *bbrmetric.Set) *bbrstore.Adapter {
	traffic := bbrtraffic.New(metrics, bbrtraffic.Platform)
	return &bbrstore.Adapter{
		Address:  settings.Platform.Address,
		ClientID: settings.Entry,
		Timeout:  settings.Platform.Timeout,
		Client: http.Client{Transport: &http.Transport{
			DialContext:         traffic.Dial,
			MaxIdleConnsPerHost: maxIdleToPlatform,
		}},
	}
}

func newClient(settings bbrsettings.Settings, metrics *bbrmetric.Set, lifecycle fx.Lifecycle) *bbrlink.Client {
	client := bbrlink.NewClient(settings.Timing.Dial)
	traffic := bbrtraffic.New(metrics, bbrtraffic.Peer)
	client.Dial = func(ctx context.Context, peer netip.AddrPort) (net.Conn, error) {
		return traffic.Dial(ctx, "tcp", peer.String())
	}
	lifecycle.Append(fx.StopHook(client.Close))
	return client
}
