package main

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
)

// channels has the open channels to all stand-ins.
var channels struct {
	sync.Mutex
	open map[*channel]bool
}

// channel is a connection that may go silent for good, without a reset.
type channel struct {
	net.Conn
	silent atomic.Bool
}

func (c *channel) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

func (c *channel) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *channel) Close() error {
	channels.Lock()
	delete(channels.open, c)
	channels.Unlock()
	if c.silent.Load() {
		return nil
	}
	return c.Conn.Close()
}

type channelListener struct{ net.Listener }

func plainServe(h http.Handler) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	go func() { _ = (&http.Server{Handler: h}).Serve(l) }()
	return l.Addr().String()
}

func (l channelListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &channel{Conn: conn}
	channels.Lock()
	defer channels.Unlock()
	if channels.open == nil {
		channels.open = map[*channel]bool{}
	}
	channels.open[c] = true
	return c, nil
}

// silence makes all open channels silent. New ones work.
func silence() int {
	channels.Lock()
	defer channels.Unlock()
	for c := range channels.open {
		c.silent.Store(true)
	}
	return len(channels.open)
}

func listenAndServe(h http.Handler) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	go func() { _ = (&http.Server{Handler: h}).Serve(channelListener{l}) }()
	return l.Addr().String()
}
