package bbrabuse

import (
	"encoding/binary"
	"fmt"
	"net"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"
)

// crowdSize is the number of clients that misbehave at the same time.
const crowdSize = 300

// legalBody is the size of the largest legal body of a job.
const legalBody = 262_144

// writeTimeout bounds how long a client tries to send what the entry does not read.
const writeTimeout = 3 * time.Second

// target is where a crowd sends its requests.
type target struct {
	name    string
	address netip.AddrPort
	method  string
	path    string
}

// client is one client of a crowd.
type client struct {
	target
	number int
	conn   net.Conn
}

// send sends text. It returns false if the entry does not take it.
func (c *client) send(text string) bool {
	_ = c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := c.conn.Write([]byte(text))
	return err == nil
}

// jobPath is the path of the client's job if the target has no path of its own.
func (c *client) jobPath() string {
	if c.path != "" {
		return c.path
	}
	return fmt.Sprintf("/press/%016x", 0xabc000+c.number)
}

// head returns the head of a request with the fields, each ended by a line break.
func (c *client) head(fields string) string {
	return c.method + " " + c.jobPath() + " HTTP/1.1\r\nHost: print.example\r\n" + fields + "\r\n"
}

// misbehaviour is what each client of a crowd does with its connection. The connection
// stays open afterwards.
type misbehaviour func(c *client)

// crowd lets clients misbehave against the target. It then runs during, while their
// connections are open, and checks the entry.
func (s *system) crowd(t *testing.T, kind string, to target, act misbehaviour, during func()) {
	w := &descriptorWatcher{system: s, stop: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	clients := make([]*client, crowdSize)
	var acting sync.WaitGroup
	for i := range clients {
		conn, err := net.DialTimeout("tcp", to.address.String(), writeTimeout)
		if err != nil {
			continue
		}
		c := &client{target: to, number: i, conn: conn}
		clients[i] = c
		acting.Go(func() { act(c) })
	}
	acting.Wait()
	w.sample()
	if during != nil {
		during()
	}
	close(w.stop)
	<-w.done
	s.check(t, kind+" to "+to.name, w.peak)
	for _, c := range clients {
		if c != nil {
			_ = c.conn.Close()
		}
	}
	// The connections of one crowd do not count for the next one.
	eventually(t, "the connections are closed", func() bool { return s.descriptors() < quietDescriptors })
}

// descriptorWatcher observes the open descriptors of the entry.
type descriptorWatcher struct {
	system     *system
	stop, done chan struct{}
	mu         sync.Mutex
	peak       int
}

func (w *descriptorWatcher) run() {
	defer close(w.done)
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-w.stop:
			return
		case <-ticker.C:
			w.sample()
		}
	}
}

func (w *descriptorWatcher) sample() {
	count := w.system.descriptors()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.peak = max(w.peak, count)
}

// stalledBody sends a body of legal size except for its last byte, in pieces of the size.
func stalledBody(piece int) misbehaviour {
	return func(c *client) {
		text := strings.Repeat(" ", legalBody-1)
		if !c.send(c.head(fmt.Sprintf("Content-Length: %d\r\n", legalBody))) {
			return
		}
		for len(text) > 0 {
			n := min(piece, len(text))
			if !c.send(text[:n]) {
				return
			}
			text = text[n:]
		}
	}
}

// stalledChunks sends a chunked body of legal size without its last chunk.
func stalledChunks(c *client) {
	if !c.send(c.head("Transfer-Encoding: chunked\r\n")) {
		return
	}
	const chunk = 8192
	text := fmt.Sprintf("%x\r\n%s\r\n", chunk, strings.Repeat(" ", chunk))
	for range legalBody/chunk - 1 {
		if !c.send(text) {
			return
		}
	}
	c.send(fmt.Sprintf("%x\r\n%s", chunk, strings.Repeat(" ", chunk-1)))
}

// oversized sends a body of eight times the legal size, of declared length.
func oversized(c *client) {
	if !c.send(c.head(fmt.Sprintf("Content-Length: %d\r\n", 8*legalBody))) {
		return
	}
	text := strings.Repeat(" ", legalBody)
	for range 8 {
		if !c.send(text) {
			return
		}
	}
}

// oversizedChunks sends a chunked body of eight times the legal size.
func oversizedChunks(c *client) {
	if !c.send(c.head("Transfer-Encoding: chunked\r\n")) {
		return
	}
	text := fmt.Sprintf("%x\r\n%s\r\n", legalBody, strings.Repeat(" ", legalBody))
	for range 8 {
		if !c.send(text) {
			return
		}
	}
}

// completeBody sends a complete request with the body.
func completeBody(body string) misbehaviour {
	return func(c *client) {
		c.send(c.head(fmt.Sprintf("Content-Length: %d\r\n", len(body))) + body)
	}
}

// manySteps returns a job of legal size with as many steps as possible.
func manySteps() string {
	const begin, end = `{"spec":"1ms","steps":[{}`, `]}`
	return begin + strings.Repeat(",{}", (legalBody-len(begin)-len(end))/3) + end
}

// manyFields returns a job of legal size with as many unknown fields as possible.
func manyFields() string {
	const begin, end = `{"spec":"1ms","steps":[{"count":1}]`, `}`
	return begin + strings.Repeat(`,"":0`, (legalBody-len(begin)-len(end))/5) + end
}

// manyDependencies returns a job of legal size with a step that has as many dependencies
// as possible.
func manyDependencies() string {
	const begin, end = `{"spec":"1ms","steps":[{"count":1},{"count":1,"after":[0`, `]}]}`
	return begin + strings.Repeat(`,0`, (legalBody-len(begin)-len(end))/2) + end
}

// nested returns a body of legal size that consists of nested lists.
func nested() string {
	return `{"x":` + strings.Repeat("[", legalBody-5)
}

// manyHeaderFields sends a head of as many short fields as fit into 30 KB, without its
// end.
func manyHeaderFields(c *client) {
	var fields strings.Builder
	for i := 0; fields.Len() < 30_000; i++ {
		fmt.Fprintf(&fields, "%x:\r\n", i)
	}
	head := c.head(fields.String())
	c.send(head[:len(head)-2])
}

// pipelined sends many requests without reading the responses.
func pipelined(c *client) {
	if tcp, ok := c.conn.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(2048)
	}
	for range 20 {
		if !c.send(strings.Repeat(c.head(""), 20)) {
			return
		}
	}
}

// pipelinedBodies sends many requests with bodies without reading the responses.
func pipelinedBodies(c *client) {
	if tcp, ok := c.conn.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(2048)
	}
	body := strings.Repeat(" ", 8192)
	for range 20 {
		if !c.send(c.head(fmt.Sprintf("Content-Length: %d\r\n", len(body))) + body) {
			return
		}
	}
}

// trickle sends text byte by byte, with pauses, for about a second.
func trickle(c *client, text string) {
	for i := range min(len(text), 25) {
		if !c.send(text[i : i+1]) {
			return
		}
		time.Sleep(40 * time.Millisecond)
	}
}

// slowHead sends the head of a request slowly and never ends it.
func slowHead(c *client) { trickle(c, c.head("")) }

// slowBody sends a body slowly and never ends it.
func slowBody(c *client) {
	if c.send(c.head(fmt.Sprintf("Content-Length: %d\r\n", legalBody))) {
		trickle(c, strings.Repeat(" ", 25))
	}
}

// slowReader sends a request and reads the response byte by byte, with pauses.
func slowReader(c *client) {
	if tcp, ok := c.conn.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(2048)
	}
	if !c.send(c.head("")) {
		return
	}
	for range 25 {
		_ = c.conn.SetReadDeadline(time.Now().Add(writeTimeout))
		if _, err := c.conn.Read(make([]byte, 1)); err != nil {
			return
		}
		time.Sleep(40 * time.Millisecond)
	}
}

// idle sends nothing.
func idle(*client) {}

// stalledMessage sends a message of the protocol between entries except for its last byte.
// Its head is that of an invocation: kind and flags, stream, message, and length.
func stalledMessage(c *client) {
	head := binary.AppendUvarint([]byte{0x03, 1, 1}, legalBody)
	c.send(string(head) + strings.Repeat("x", legalBody-1))
}

// halfway stops in different places of a request, and either closes the connection, or
// its own side of it, or keeps it open.
func halfway(c *client) {
	request := c.head(fmt.Sprintf("Content-Length: %d\r\n", legalBody)) + strings.Repeat(" ", legalBody/2)
	stops := []int{0, 1, 20, len(request) - legalBody/2, len(request) - legalBody/4, len(request)}
	if !c.send(request[:stops[c.number%len(stops)]]) {
		return
	}
	switch c.number / len(stops) % 3 {
	case 0:
		_ = c.conn.Close()
	case 1:
		_ = c.conn.(*net.TCPConn).CloseWrite()
	}
}
