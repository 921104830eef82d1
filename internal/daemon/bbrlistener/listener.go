package bbrlistener

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/netip"
	"sync"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"github.com/bluebellridge/bluebellridge/internal/config/bbrsettings"
	"github.com/bluebellridge/bluebellridge/internal/daemon/bbrlimit"
)

// Listener is an HTTP server.
type Listener struct {
	server http.Server
	limits *bbrlimit.Limits
	kind   bbrlimit.Kind
	tls    bbrsettings.TLS
	wg     sync.WaitGroup
}

// New returns a listener that is not started.
func New(kind bbrlimit.Kind, address netip.AddrPort, handler http.Handler, settings bbrsettings.Settings, limits *bbrlimit.Limits) *Listener {
	return &Listener{
		server: http.Server{
			Addr:              address.String(),
			Handler:           limits.Handler(handler),
			ConnContext:       bbrlimit.ConnContext,
			ReadHeaderTimeout: settings.Timing.ReadHeader,
			IdleTimeout:       settings.Timing.Idle,
			MaxHeaderBytes:    settings.Limits.HeaderBytes,
		},
		limits: limits,
		kind:   kind,
		tls:    settings.Listen.TLS,
	}
}

// Start binds the address and serves in the background.
func (l *Listener) Start(ctx context.Context) error {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", l.server.Addr)
	if err != nil {
		return err
	}
	if l.tls.Certificate != "" {
		certificate, err := tls.LoadX509KeyPair(l.tls.Certificate, l.tls.Key)
		if err != nil {
			_ = listener.Close()
			return err
		}
		// The limits apply to what was decrypted. HTTP/2 is not offered, as it has many
		// requests in progress on one connection.
		listener = tls.NewListener(listener, &tls.Config{Certificates: []tls.Certificate{certificate}, NextProtos: []string{"http/1.1"}})
	}
	l.wg.Go(func() { l.run(l.limits.Listener(l.kind, listener)) })
	return nil
}

func (l *Listener) run(listener net.Listener) {
	if err := l.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
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
