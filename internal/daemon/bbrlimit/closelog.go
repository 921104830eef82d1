package bbrlimit

import (
	"sync"
	"time"

	"k8s.io/klog/v2"
)

// logInterval is the shortest time between two log lines for a listener and a reason.
const logInterval = 10 * time.Second

// closeLog logs connections that are closed because of a limit, at a bounded rate.
type closeLog struct {
	mu   sync.Mutex
	last map[closeKind]*closeCount
}

type closeKind struct {
	listener Kind
	reason   string
}

type closeCount struct {
	logged time.Time
	// closed counts the connections since then.
	closed int
}

func (l *closeLog) add(listener Kind, reason string, now time.Time) {
	if closed := l.due(closeKind{listener, reason}, now); closed > 0 {
		klog.InfoS("Clients' connections closed", "listener", string(listener), "reason", reason, "count", closed)
	}
}

// due counts a connection. It returns how many were closed since the last line if there
// is to be another one, otherwise 0.
func (l *closeLog) due(kind closeKind, now time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.last == nil {
		l.last = make(map[closeKind]*closeCount)
	}
	count := l.last[kind]
	if count == nil {
		count = &closeCount{}
		l.last[kind] = count
	}
	count.closed++
	if now.Sub(count.logged) < logInterval {
		return 0
	}
	closed := count.closed
	count.logged, count.closed = now, 0
	return closed
}
