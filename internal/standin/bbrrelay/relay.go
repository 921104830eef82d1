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

// Relay forwards connections to the address Target.
type Relay struct {
	Target netip.AddrPort
	// Link is the link that all bytes pass; nil for none.
	Link *Link

	mu          sync.Mutex
	pairs       map[*pair]bool
	partitioned bool
	// delay is the time by which bytes are delayed, in nanoseconds.
	delay atomic.Int64
	// dropReplies means that bytes from the target are dropped.
	dropReplies atomic.Bool
}

// pair is a client's connection and the connection to the target that continues it.
type pair struct {
	client, target net.Conn
	// blackholed is closed when the pair stops forwarding.
	blackholed    chan struct{}
	blackholeOnce sync.Once
}

// Run accepts and forwards connections until the listener is closed.
func (r *Relay) Run(listener net.Listener) {
	for {
		client, err := listener.Accept()
		if err != nil {
			return
		}
		go r.run(client)
	}
}

// run forwards one connection.
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

// add registers the pair and reports whether it may be used, which it may not while
// the network is partitioned.
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

// forward copies bytes until a connection closes. Once the pair is blackholed, it
// reads and drops all bytes and does not pass the close on. Bytes that arrive while
// drop is set blackhole the pair.
func (r *Relay) forward(p *pair, to, from net.Conn, drop *atomic.Bool) {
	buffer := make([]byte, r.bufferSize())
	for {
		n, err := from.Read(buffer)
		select {
		case <-p.blackholed:
			_, _ = io.Copy(io.Discard, from)
			return
		default:
		}
		if drop != nil && drop.Load() {
			// A TCP connection cannot continue once bytes are lost.
			p.blackholeOnce.Do(func() { close(p.blackholed) })
			continue
		}
		if n > 0 {
			r.pass(n, from == p.target)
			_, _ = to.Write(buffer[:n])
		}
		if err != nil {
			_ = to.Close()
			return
		}
	}
}

// bufferSize returns how many bytes a connection forwards at once.
func (r *Relay) bufferSize() int {
	if r.Link != nil {
		return maxChunk
	}
	return 32 << 10
}

// pass waits until bytes have passed the delay and the link.
func (r *Relay) pass(byteCount int, fromTarget bool) {
	time.Sleep(time.Duration(r.delay.Load()))
	if r.Link != nil {
		time.Sleep(r.Link.accept(byteCount, fromTarget, time.Now()))
	}
}

// Blackhole stops the forwarding on all open connections without closing them, and
// returns their number. New connections work.
func (r *Relay) Blackhole() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.pairs {
		p.blackholeOnce.Do(func() { close(p.blackholed) })
	}
	return len(r.pairs)
}

// SetPartitioned starts or ends a partition. Its start blackholes the open connections,
// and new ones are closed while it lasts.
func (r *Relay) SetPartitioned(partitioned bool) {
	if partitioned {
		r.Blackhole()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.partitioned = partitioned
}

// SetDelay delays all bytes by the given time.
func (r *Relay) SetDelay(delay time.Duration) { r.delay.Store(int64(delay)) }

// SetDropReplies starts or ends the dropping of bytes from the target.
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

// Handler returns the HTTP handler of the calls that control the relay.
func (r *Relay) Handler() http.Handler {
	router := http.NewServeMux()
	router.HandleFunc("POST /forget", func(http.ResponseWriter, *http.Request) { r.Blackhole() })
	router.HandleFunc("POST /cut", func(http.ResponseWriter, *http.Request) { r.SetPartitioned(true) })
	router.HandleFunc("POST /mend", func(http.ResponseWriter, *http.Request) { r.SetPartitioned(false) })
	return router
}
