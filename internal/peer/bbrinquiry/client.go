package bbrinquiry

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"k8s.io/klog/v2"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcpool"

	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrdetector"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrowner"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrscheduler"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
	"github.com/bluebellridge/bluebellridge/internal/store/bbrkv"
)

const (
	// queryTimeout bounds a query. It is short because the caller still waits while
	// the store is read after a failed query.
	queryTimeout = 150 * time.Millisecond
	// revokeTimeout bounds a request to revoke a lease, which takes a call to the store.
	revokeTimeout = 400 * time.Millisecond
	// failureBackoff is how long an entry is not queried after it did not answer.
	failureBackoff = time.Second
	// idleTimeout is how long an idle connection is kept.
	idleTimeout = 20 * time.Second
	// maxIdlePerEntry bounds the idle connections to one entry.
	maxIdlePerEntry = 4
	// maxIdle bounds the idle connections to all entries.
	maxIdle = 64
	// maxHintBytes bounds the job of a hint: a larger one may take a slow link for longer
	// than queryTimeout.
	maxHintBytes = 16 << 10
	// hintStepBytes is about the size of a step in a hint.
	hintStepBytes = 256
)

// Client sends queries to other entries.
type Client struct {
	// Rooms is nil if the entry takes no part in the exchange of rooms.
	Rooms *RoomExchange

	pool *drpcpool.Pool[netip.AddrPort, drpcpool.Conn]

	mu sync.Mutex
	// backoffUntil contains the entries that did not answer their last call, and the
	// time until which they are not queried.
	backoffUntil map[netip.AddrPort]time.Time
}

// NewClient returns a client that reuses connections.
func NewClient() *Client {
	return &Client{
		pool:         drpcpool.New[netip.AddrPort, drpcpool.Conn](drpcpool.Options{Expiration: idleTimeout, Capacity: maxIdle, KeyCapacity: maxIdlePerEntry}),
		backoffUntil: make(map[netip.AddrPort]time.Time),
	}
}

// State queries the entry for the state of a job. The second result is false if the
// entry does not know the state or does not answer in time.
func (c *Client) State(ctx context.Context, entry netip.AddrPort, shard bbrwork.Shard, job string, now time.Time) (bbrwork.State, bool) {
	var out StateResponse
	answered := c.query(ctx, entry, stateMethod, newJobRequest(shard, job), &out, now)
	return out.State, answered && out.Known
}

// Explain queries the entry for the explanation of a job's state. The second result is
// false if the entry has none or does not answer in time.
func (c *Client) Explain(ctx context.Context, entry netip.AddrPort, shard bbrwork.Shard, job string, now time.Time) (bbrscheduler.Explanation, bool) {
	var out ExplainResponse
	answered := c.query(ctx, entry, explainMethod, newJobRequest(shard, job), &out, now)
	return out.Explanation, answered && out.Known
}

// Hint notifies the entry of a job that has just been stored, and returns the answer of
// the owner there; false if it does not answer in time. A large job is not sent, since a
// hint that fails would keep other queries from the entry. The owner learns of it from the
// store.
func (c *Client) Hint(ctx context.Context, entry netip.AddrPort, hint bbrowner.Hint, now time.Time) (HintResponse, bool) {
	var out HintResponse
	if len(hint.Job.Spec)+len(hint.Job.Steps)*hintStepBytes > maxHintBytes {
		return HintResponse{}, false
	}
	sent := time.Now()
	in := &HintRequest{Hint: hint, Rooms: c.Rooms.known(hint.Job.Service, sent)}
	if !c.query(ctx, entry, hintMethod, in, &out, now) {
		return HintResponse{}, false
	}
	// Ages count from before the answer was made, so that they are not underestimated.
	c.Rooms.learn(hint.Job.Service, out.Rooms, sent)
	return out, true
}

// Ping returns an error if the entry does not answer within the timeout. It calls the
// entry also during the backoff.
func (c *Client) Ping(ctx context.Context, entry netip.AddrPort, timeout time.Duration, now time.Time) error {
	return c.invoke(ctx, entry, pingMethod, &PingMessage{}, &PingMessage{}, timeout, now)
}

// Reachability queries the entry whether the one at the address about answers its
// ping within the timeout. It calls the entry also during the backoff.
func (c *Client) Reachability(ctx context.Context, entry, about netip.AddrPort, timeout time.Duration, now time.Time) bbrdetector.Reachability {
	var out ReachabilityResponse
	in := &ReachabilityRequest{About: about, Timeout: timeout}
	if err := c.invoke(ctx, entry, reachabilityMethod, in, &out, timeout+queryTimeout, now); err != nil {
		return bbrdetector.NoAnswer
	}
	return out.Reachability
}

// Served asks the entry how long ago the store last served it. The second result is false
// if the entry does not answer in time.
func (c *Client) Served(ctx context.Context, entry netip.AddrPort, now time.Time) (time.Duration, bool) {
	var out ServedResponse
	answered := c.query(ctx, entry, servedMethod, &PingMessage{}, &out, now)
	return out.Age, answered
}

// Revoke asks the entry to revoke a lease of this one, and reports whether that was done.
func (c *Client) Revoke(ctx context.Context, entry netip.AddrPort, lease bbrkv.Lease, now time.Time) bool {
	var out RevokeResponse
	err := c.invoke(ctx, entry, revokeMethod, &RevokeRequest{Lease: lease}, &out, revokeTimeout, now)
	return err == nil && out.Revoked
}

// query makes a call unless the entry is in backoff, and reports whether it was
// answered.
func (c *Client) query(ctx context.Context, entry netip.AddrPort, method string, in, out drpc.Message, now time.Time) bool {
	return !c.inBackoff(entry, now) && c.invoke(ctx, entry, method, in, out, queryTimeout, now) == nil
}

func (c *Client) invoke(ctx context.Context, entry netip.AddrPort, method string, in, out drpc.Message, timeout time.Duration, now time.Time) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	err := c.pool.Get(ctx, entry, dial).Invoke(ctx, method, jsonEncoding{}, in, out)
	c.recordResult(entry, err, now)
	return err
}

// Close closes all connections.
func (c *Client) Close() error { return c.pool.Close() }

// inBackoff reports whether the entry did not answer a call shortly before now.
func (c *Client) inBackoff(entry netip.AddrPort, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Before(c.backoffUntil[entry])
}

// recordResult starts or ends the entry's backoff, and logs when the entry stops or
// resumes answering.
func (c *Client) recordResult(entry netip.AddrPort, err error, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, failing := c.backoffUntil[entry]
	switch {
	case err != nil:
		c.backoffUntil[entry] = now.Add(failureBackoff)
		if !failing {
			klog.InfoS("Dependency lost", "dependency", "entry", "address", entry, "use", "questions", "reason", err.Error())
		}
	case failing:
		delete(c.backoffUntil, entry)
		klog.InfoS("Dependency regained", "dependency", "entry", "address", entry, "use", "questions")
	}
}

func dial(ctx context.Context, entry netip.AddrPort) (drpcpool.Conn, error) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", entry.String())
	if err != nil {
		return nil, err
	}
	return drpcconn.New(conn), nil
}

var _ drpc.Encoding = jsonEncoding{}
