package bbrlink

import (
	"context"
	"net"
	"sync"

	"go.uber.org/fx"
	"k8s.io/klog/v2"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrmetric"
	"github.com/bluebellridge/bluebellridge/internal/base/bbrtraffic"
	"github.com/bluebellridge/bluebellridge/internal/config/bbrsettings"
	"github.com/bluebellridge/bluebellridge/internal/daemon/bbrentry"
	"github.com/bluebellridge/bluebellridge/internal/daemon/bbrkernel"
	"github.com/bluebellridge/bluebellridge/internal/daemon/bbrlimit"
)

func init() {
	bbrkernel.Register(bbrkernel.Plugin{
		Name:  "peer",
		Stage: bbrkernel.StagePeer,
		Option: fx.Options(
			fx.Provide(newServer),
			fx.Invoke(func(lifecycle fx.Lifecycle, settings bbrsettings.Settings, metrics *bbrmetric.Set, limits *bbrlimit.Limits, server *Server) {
				l := &peerListener{server: server, settings: settings, limits: limits, meter: bbrtraffic.New(metrics, bbrtraffic.Peer)}
				lifecycle.Append(fx.StartStopHook(l.start, l.stop))
			}),
		),
	})
}

// newServer returns a server without handlers for requests and commands. Other
// plug-ins set these when they start.
func newServer(state *bbrentry.State) *Server { return &Server{State: state} }

// peerListener runs the server on the address for peers.
type peerListener struct {
	server   *Server
	settings bbrsettings.Settings
	limits   *bbrlimit.Limits
	meter    *bbrtraffic.Meter
	cancel   context.CancelFunc
	wg       sync.WaitGroup
}

func (l *peerListener) start(ctx context.Context) error {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", l.settings.Listen.Peers.String())
	if err != nil {
		return err
	}
	runCtx, cancel := context.WithCancel(context.Background())
	l.cancel = cancel
	l.wg.Go(func() { l.run(runCtx, l.limits.Listener(bbrlimit.Peers, l.meter.WrapListener(listener))) })
	return nil
}

func (l *peerListener) run(ctx context.Context, listener net.Listener) {
	if err := l.server.Run(ctx, listener); err != nil && ctx.Err() == nil {
		klog.ErrorS(err, "Peer listener failed")
	}
}

func (l *peerListener) stop() {
	l.cancel()
	l.wg.Wait()
}
