package bbrrelay

import (
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// Relay passes connections on to one address.
type Relay struct {
	Target netip.AddrPort

	mu          sync.Mutex
	pairs       map[*pair]bool
	partitioned bool
	// delay is how much later bytes are passed on, in nanoseconds, and dropBack
	// tells that what comes from the far end is dropped.
	delay       atomic.Int64
	dropReplies atomic.Bool
}

// pair is one connection and its continuation.
type pair struct {
	client, target net.Conn
	// blackholed is closed when the pair is forgotten.
	blackholed    chan struct{}
	blackholeOnce sync.Once
}

// Run accepts connections until the listener is closed.
func (r *Relay) Run(listener net.Listener) {
	for {
		client, err := listener.Accept()
		if err != nil {
			return
		}
		go r.run(client)
	}
}

func (r *Relay) run(client net.Conn) {
	defer client.Close()
	target, err := net.Dial("tcp", r.Target.String())
	if err != nil {
		return
	}
	defer target.Close()
	p := &pair{client: client, target: target, blackholed: make(chan struct{})}
	if !r.add(p) {
		return
	}
	defer r.remove(p)
	var copies sync.WaitGroup
	copies.Go(func() { r.forward(p, target, client, nil) })
	copies.Go(func() { r.forward(p, client, target, &r.dropReplies) })
	copies.Wait()
}

// add keeps the pair unless the relay is cut.
func (r *Relay) add(p *pair) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.partitioned {
		return false
	}
	if r.pairs == nil {
		r.pairs = make(map[*pair]bool)
	}
	r.pairs[p] = true
	return true
}

func (r *Relay) remove(p *pair) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.pairs, p)
}

// forward copies until an end closes. Once the pair is forgotten, bytes are read
// and dropped and no end is told; so are single bytes while drop is set.
func (r *Relay) forward(p *pair, to, from net.Conn, drop *atomic.Bool) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		select {
		case <-p.blackholed:
			_, _ = io.Copy(io.Discard, from)
			return
		default:
		}
		if drop != nil && drop.Load() {
			// A connection that has lost bytes is of no use any more.
			p.blackholeOnce.Do(func() { close(p.blackholed) })
			continue
		}
		if n > 0 {
			time.Sleep(time.Duration(r.delay.Load()))
			_, _ = to.Write(buffer[:n])
		}
		if err != nil {
			_ = to.Close()
			return
		}
	}
}

// Blackhole makes the open connections go silent; new ones work.
func (r *Relay) Blackhole() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.pairs {
		p.blackholeOnce.Do(func() { close(p.blackholed) })
	}
	return len(r.pairs)
}

// SetPartitioned makes new connections fail and open ones go silent, or ends that.
func (r *Relay) SetPartitioned(partitioned bool) {
	if partitioned {
		r.Blackhole()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.partitioned = partitioned
}

// SetDelay makes all bytes come so much later.
func (r *Relay) SetDelay(delay time.Duration) { r.delay.Store(int64(delay)) }

// SetDropReplies drops what comes back from the far end, or ends that.
func (r *Relay) SetDropReplies(drop bool) { r.dropReplies.Store(drop) }

// CloseConnections closes the open connections.
func (r *Relay) CloseConnections() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.pairs {
		_ = p.client.Close()
		_ = p.target.Close()
	}
}

// Handler returns the handler of the switches.
func (r *Relay) Handler() http.Handler {
	router := http.NewServeMux()
	router.HandleFunc("POST /forget", func(http.ResponseWriter, *http.Request) { r.Blackhole() })
	router.HandleFunc("POST /cut", func(http.ResponseWriter, *http.Request) { r.SetPartitioned(true) })
	router.HandleFunc("POST /mend", func(http.ResponseWriter, *http.Request) { r.SetPartitioned(false) })
	return router
}
