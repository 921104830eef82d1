package bbrlimit

import (
	"math"
	"net"
	"net/http"
	"time"

	"golang.org/x/sys/unix"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrmetric"
	"github.com/bluebellridge/bluebellridge/internal/config/bbrsettings"
)

// Limits are the limits that all listeners of a process share.
type Limits struct {
	settings bbrsettings.Settings
	metrics  *bbrmetric.Set
	sizes    sizes
	bodies   *budget
	messages *budget
	log      closeLog
}

// New returns the limits of a process with the settings.
func New(settings bbrsettings.Settings, metrics *bbrmetric.Set) *Limits {
	sizes := newSizes(&settings, openFiles())
	l := &Limits{settings: settings, metrics: metrics, sizes: sizes, bodies: newBudget(sizes.bodyBytes), messages: newBudget(sizes.peerBytes)}
	metrics.Gauge("bbr_client_bytes_in_flight", "Bytes of clients' bodies that the entry holds, without messages of other entries.", func() float64 { return float64(l.bodies.held.Load()) })
	return l
}

// openFiles returns how many descriptors the process may have open.
func openFiles() int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return maxDescriptors
	}
	return int(min(limit.Cur, math.MaxInt32))
}

// Listener bounds the connections of a listener. Its connections are those of an HTTP
// server with the Handler, except for those of Peers.
func (l *Limits) Listener(kind Kind, listener net.Listener) *Listener {
	return &Listener{Listener: listener, limits: l, kind: kind, max: l.sizes.connections[kind], conns: make(map[*Conn]struct{})}
}

// Handler returns a handler that passes requests on with a body that is read only if next
// reads it, within the limits.
func (l *Limits) Handler(next http.Handler) http.Handler {
	return &handler{limits: l, next: next}
}

// Reasons why a connection is closed, or a request on it refused.
const (
	// reasonDisplaced and reasonNoRoom apply beyond the bound on connections.
	reasonDisplaced    = "displaced"
	reasonNoRoom       = "noRoom"
	reasonHeaderFields = "headerFields"
	reasonBudget       = "bytesInFlight"
	reasonSlowBody     = "slowBody"
	reasonSlowReader   = "slowReader"
	reasonUnread       = "bodyNotRead"
)

// count counts a connection that is closed, or will be after its answer.
func (l *Limits) count(kind Kind, reason string) {
	l.metrics.ClientClosed(string(kind), reason)
	l.log.add(kind, reason, time.Now())
}
