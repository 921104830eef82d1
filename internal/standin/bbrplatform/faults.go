package bbrplatform

import (
	"slices"
	"sync"
	"time"
)

// Faults are the faults injected into the calls of daemons.
type Faults struct {
	// Down makes every call fail before it takes effect.
	Down bool `json:"down"`
	// DelayMillis is added to the duration of every call, in milliseconds.
	DelayMillis int64 `json:"delayMillis"`
	// LoseAnswers is the number of further writes that take effect and get no
	// response.
	LoseAnswers int `json:"loseAnswers"`
	// CutClients lists the clients whose calls fail before they take effect.
	CutClients []string `json:"cutClients"`
}

// faultInjector decides which faults a call meets.
type faultInjector struct {
	mu     sync.Mutex
	faults Faults
}

func (injector *faultInjector) set(faults Faults) {
	injector.mu.Lock()
	defer injector.mu.Unlock()
	injector.faults = faults
}

func (injector *faultInjector) delay() time.Duration {
	injector.mu.Lock()
	defer injector.mu.Unlock()
	return time.Duration(injector.faults.DelayMillis) * time.Millisecond
}

// refuses reports whether a client's call fails before it takes effect.
func (injector *faultInjector) refuses(client string) bool {
	injector.mu.Lock()
	defer injector.mu.Unlock()
	return injector.faults.Down || slices.Contains(injector.faults.CutClients, client)
}

// losesAnswer reports whether the present write gets no response, and counts it
// towards LoseAnswers.
func (injector *faultInjector) losesAnswer() bool {
	injector.mu.Lock()
	defer injector.mu.Unlock()
	if injector.faults.LoseAnswers == 0 {
		return false
	}
	injector.faults.LoseAnswers--
	return true
}
