package bbrlistener

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"github.com/bluebellridge/bluebellridge/internal/config/bbrsettings"
)

// Listener is an HTTP server.
type Listener struct {
	server http.Server
	tls    bbrsettings.TLS
	wg     sync.WaitGroup
}

// New returns a listener that is not started.
func New(address netip.AddrPort, handler http.Handler, settings bbrsettings.Settings) *Listener {
	return &Listener{
		server: http.Server{
			Addr:              address.String(),
			Handler:           handler,
			ReadHeaderTimeout: settings.Timing.ReadHeader,
			IdleTimeout:       settings.Timing.Idle,
			MaxHeaderBytes:    settings.Limits.HeaderBytes,
		},
		tls: settings.Listen.TLS,
	}
}

// Start binds the address and serves in the background.
func (l *Listener) Start(ctx context.Context) error {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", l.server.Addr)
	if err != nil {
		return err
	}
	l.wg.Go(func() { l.run(listener) })
	return nil
}

func (l *Listener) run(listener net.Listener) {
	var err error
	if l.tls.Certificate == "" {
		err = l.server.Serve(listener)
	} else {
		err = l.server.ServeTLS(listener, l.tls.Certificate, l.tls.Key)
	}
	if !errors.Is(err, http.ErrServerClosed) {
		klog.ErrorS(err, "Listener failed", "address", l.server.Addr)
	}
}

// Stop closes the listener and idle connections, and waits for the requests in
// progress until ctx ends.
func (l *Listener) Stop(ctx context.Context) error {
	err := l.server.Shutdown(ctx)
	l.wg.Wait()
	return err
}
