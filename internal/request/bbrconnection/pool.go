package bbrconnection

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"
)

const (
	// maxIdle bounds the idle connections to one upstream.
	maxIdle = 8
	// maxIdleTime is how long a connection may have been idle when it is reused.
	maxIdleTime = 30 * time.Second
)

// Pool keeps idle connections to upstreams, by address. The zero value is an empty
// pool without a dial timeout.
type Pool struct {
	// DialTimeout bounds the establishment of a connection.
	DialTimeout time.Duration

	mu   sync.Mutex
	idle map[netip.AddrPort][]*connection
	// lastSweep is when expired connections were last closed.
	lastSweep time.Time
}

// get returns an idle connection, or dials a new one. Requests that cannot be
// retried ask for a new connection, because an idle one may be dead without the
// entry having noticed.
func (p *Pool) get(ctx context.Context, address netip.AddrPort, newConnection bool, now time.Time) (*connection, error) {
	for !newConnection {
		conn := p.pop(address)
		if conn == nil {
			break
		}
		if now.Sub(conn.idleSince) < maxIdleTime && conn.clean() {
			conn.reused = true
			return conn, nil
		}
		_ = conn.Close()
	}
	return dial(ctx, address, p.DialTimeout)
}

// pop removes and returns the idle connection that was used last, or returns nil.
func (p *Pool) pop(address netip.AddrPort) *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[address]
	if len(conns) == 0 {
		return nil
	}
	conn := conns[len(conns)-1]
	p.idle[address] = conns[:len(conns)-1]
	return conn
}

// put adds a connection whose last response was read completely.
func (p *Pool) put(address netip.AddrPort, conn *connection, now time.Time) {
	conn.idleSince = now
	_ = conn.SetDeadline(time.Time{})
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sweep(now)
	if len(p.idle[address]) >= maxIdle {
		_ = conn.Close()
		return
	}
	if p.idle == nil {
		p.idle = make(map[netip.AddrPort][]*connection)
	}
	p.idle[address] = append(p.idle[address], conn)
}

// CloseIdle closes the idle connections to an upstream. It is called after a
// response timed out on one of them, because the others share its network path
// and have been idle as well.
func (p *Pool) CloseIdle(address netip.AddrPort) {
	p.mu.Lock()
	conns := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, conn := range conns {
		_ = conn.Close()
	}
}

// sweep closes the connections that have been idle for maxIdleTime. It covers all
// addresses, because those of removed upstreams are not used again. The caller
// holds mu.
func (p *Pool) sweep(now time.Time) {
	if now.Sub(p.lastSweep) < maxIdleTime {
		return
	}
	p.lastSweep = now
	for address, conns := range p.idle {
		kept := slices.DeleteFunc(conns, func(conn *connection) bool { return closeExpired(conn, now) })
		if len(kept) == 0 {
			delete(p.idle, address)
			continue
		}
		p.idle[address] = kept
	}
}

// closeExpired closes a connection that has been idle for maxIdleTime, and reports
// whether it did.
func closeExpired(conn *connection, now time.Time) bool {
	if now.Sub(conn.idleSince) < maxIdleTime {
		return false
	}
	_ = conn.Close()
	return true
}
