package bbrlimit

import (
	"net"
	"sync"
)

// Listener accepts a bounded number of connections. Beyond the bound, a new connection
// displaces the one that has waited for its client the longest; it is closed itself if
// there is none.
type Listener struct {
	net.Listener
	limits *Limits
	kind   Kind
	max    int

	mu    sync.Mutex
	conns map[*Conn]struct{}
}

// Accept returns the next connection, a *Conn.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		conn := newConn(accepted, l)
		displaced, admitted := l.admit(conn)
		if displaced != nil {
			l.limits.count(l.kind, reasonDisplaced)
			displaced.abort()
		}
		if admitted {
			return conn, nil
		}
		l.limits.count(l.kind, reasonNoRoom)
		_ = accepted.Close()
	}
}

// admit adds the connection, and removes the one that it displaces, if any.
func (l *Listener) admit(conn *Conn) (displaced *Conn, admitted bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.conns) >= l.max {
		if displaced = l.longestWaiting(); displaced == nil {
			return nil, false
		}
		delete(l.conns, displaced)
	}
	l.conns[conn] = struct{}{}
	l.limits.metrics.SetConnections(string(l.kind), len(l.conns))
	return displaced, true
}

// longestWaiting returns the connection that has waited for its client the longest; nil
// if there is none. On the listener of Peers, where a message may be incomplete, that is
// the connection with a call in progress that had no progress for the longest, if all have
// one. The caller holds mu.
func (l *Listener) longestWaiting() *Conn {
	var longest, longestBusy *Conn
	for conn := range l.conns {
		if conn.busy.Load() {
			longestBusy = conn.olderOf(longestBusy)
		} else {
			longest = conn.olderOf(longest)
		}
	}
	if longest == nil && l.kind == Peers {
		return longestBusy
	}
	return longest
}

// olderOf returns the one of two connections that had no progress for longer; other may
// be nil.
func (c *Conn) olderOf(other *Conn) *Conn {
	if other == nil || c.progress.Load() < other.progress.Load() {
		return c
	}
	return other
}

func (l *Listener) remove(conn *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, conn)
	l.limits.metrics.SetConnections(string(l.kind), len(l.conns))
}
