package bbrgateway

import (
	"context"
	"net/netip"
	"time"

	"go.uber.org/fx"
	"k8s.io/klog/v2"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrmetric"
	"github.com/bluebellridge/bluebellridge/internal/base/bbrpause"
	"github.com/bluebellridge/bluebellridge/internal/config/bbrsettings"
	"github.com/bluebellridge/bluebellridge/internal/daemon/bbrentry"
	"github.com/bluebellridge/bluebellridge/internal/daemon/bbrkernel"
	"github.com/bluebellridge/bluebellridge/internal/daemon/bbrlimit"
	"github.com/bluebellridge/bluebellridge/internal/daemon/bbrlistener"
	"github.com/bluebellridge/bluebellridge/internal/peer/bbrlink"
	"github.com/bluebellridge/bluebellridge/internal/platform/bbrstore"
	"github.com/bluebellridge/bluebellridge/internal/request/bbrconnection"
	"github.com/bluebellridge/bluebellridge/internal/request/bbrticket"
)

func init() {
	bbrkernel.Register(bbrkernel.Plugin{
		Name:   "caller",
		Stage:  bbrkernel.StageCaller,
		Option: fx.Options(fx.Provide(newGateway), fx.Invoke(start)),
	})
}

// unusedTicketTTL is the minimum time for which an unused ticket is kept.
const unusedTicketTTL = 10 * time.Minute

func newGateway(settings bbrsettings.Settings, state *bbrentry.State, metrics *bbrmetric.Set, client *bbrlink.Client,
	directory *bbrlink.FreeSlotDirectory, store *bbrstore.Store) *Gateway {
	connections := &bbrconnection.Pool{DialTimeout: settings.Timing.Dial}
	g := &Gateway{
		State:         state,
		Metrics:       metrics,
		Exchange:      connections.Do,
		CloseIdle:     connections.CloseIdle,
		Tickets:       &bbrticket.Table{MaxKeys: settings.Limits.Keys, MaxAnswerBytes: settings.Limits.KeptAnswerBytes, UnusedTTL: unusedTicketTTL},
		MaxBodyBytes:  settings.Limits.BodyBytes,
		MaxInProgress: settings.Limits.InProgress,
		ReadTimeout:   settings.Timing.ReadBody,
		WriteTimeout:  settings.Timing.Write,
		FindPeer: func(pool string, mayWait bool) (netip.AddrPort, bool) {
			return directory.Choose(pool, mayWait, time.Now())
		},
		ReportRefusal:   directory.MarkFull,
		Forward:         client.Forward,
		ForwardToHolder: client.ForwardToHolder,
	}
	claimant := &Claimant{Store: store, Tickets: g.Tickets, Holder: g.selfHolder()}
	g.Claim = claimant.Claim
	metrics.Gauge("bbr_requests_in_progress", "Requests that the entry holds.", func() float64 { return float64(g.InProgress()) })
	metrics.Gauge("bbr_keys_held", "Idempotency keys that the entry holds.", func() float64 { return float64(g.Tickets.Len()) })
	return g
}

func start(lifecycle fx.Lifecycle, settings bbrsettings.Settings, limits *bbrlimit.Limits, gateway *Gateway, server *bbrlink.Server) {
	server.SetForwardHandler(gateway.ServeForwarded)
	listener := bbrlistener.New(bbrlimit.Callers, settings.Listen.Callers, gateway.Handler(), settings, limits)
	lifecycle.Append(fx.StartStopHook(listener.Start, func(ctx context.Context) error {
		return gateway.shutDown(ctx, settings.Shutdown, listener)
	}))
}

// drainPollInterval is how often shutDown checks for requests in progress.
const drainPollInterval = 20 * time.Millisecond

// shutDown stops the gateway without interrupting requests. The readiness check
// fails first. Requests are served for as long as the load balancer may still
// send them. Then new requests are refused, and shutDown waits up to the grace
// period for those in progress.
func (g *Gateway) shutDown(ctx context.Context, shutdown bbrsettings.Shutdown, listener *bbrlistener.Listener) error {
	g.MarkUnready()
	bbrpause.For(ctx, shutdown.BalancerLag)
	g.StopAccepting()
	limit := time.Now().Add(shutdown.Grace)
	for g.InProgress() > 0 && time.Now().Before(limit) && ctx.Err() == nil {
		bbrpause.For(ctx, drainPollInterval)
	}
	if remaining := g.InProgress(); remaining > 0 {
		klog.InfoS("Requests still in progress after the grace period are aborted", "requests", remaining)
	}
	stopContext, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	return listener.Stop(stopContext)
}
