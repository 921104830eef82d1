package bbrcoordinator

import (
	"context"
	"maps"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrview"
)

// failuresUntilUnreachable is how many consecutive probes must fail before an
// instance counts as unreachable.
const failuresUntilUnreachable = 3

// Prober probes the instances by opening TCP connections to them.
type Prober struct {
	// Timeout bounds one connection attempt.
	Timeout time.Duration

	mu sync.Mutex
	// failures counts the consecutive failed probes of each instance.
	failures map[string]int
}

// Probe probes every instance once, except those that reboot.
func (p *Prober) Probe(ctx context.Context, view *bbrview.View) {
	var round sync.WaitGroup
	for id, instance := range view.Instances {
		if instance.State == bbrview.Rebooting {
			continue
		}
		round.Go(func() { p.record(id, p.dial(ctx, instance.Address)) })
	}
	round.Wait()
}

func (p *Prober) dial(ctx context.Context, address netip.AddrPort) bool {
	dialer := net.Dialer{Timeout: p.Timeout}
	conn, err := dialer.DialContext(ctx, "tcp", address.String())
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

// record updates failures after a probe of the instance.
func (p *Prober) record(id string, reached bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.failures == nil {
		p.failures = make(map[string]int)
	}
	if reached {
		delete(p.failures, id)
		return
	}
	p.failures[id]++
}

// Unreachable returns the instances whose last failuresUntilUnreachable probes or
// more have failed.
func (p *Prober) Unreachable() map[string]bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	failures := maps.Clone(p.failures)
	unreached := make(map[string]bool)
	for id, count := range failures {
		if count >= failuresUntilUnreachable {
			unreached[id] = true
		}
	}
	return unreached
}
