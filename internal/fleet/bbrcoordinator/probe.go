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

// failuresUntilUnreachable is how many probes in a row must fail.
const failuresUntilUnreachable = 3

// Prober tries to reach the instances.
type Prober struct {
	Timeout time.Duration

	mu       sync.Mutex
	failures map[string]int
}

// Probe tries every instance that should be reachable, once.
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

// Unreachable returns the instances that several probes in a row did not reach.
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
