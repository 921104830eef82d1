package bbrplatform

import (
	"slices"
	"sync"
	"time"
)

// Faults are the switches of the stand-in.
type Faults struct {
	// Down makes every call fail before it takes effect.
	Down bool `json:"down"`
	// DelayMillis is added to every call.
	DelayMillis int64 `json:"delayMillis"`
	// LoseAnswers is how many further writes take effect with their answers
	// lost.
	LoseAnswers int `json:"loseAnswers"`
	// CutClients lists the clients whose calls do not arrive.
	CutClients []string `json:"cutClients"`
}

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

func (injector *faultInjector) refuses(client string) bool {
	injector.mu.Lock()
	defer injector.mu.Unlock()
	return injector.faults.Down || slices.Contains(injector.faults.CutClients, client)
}

func (injector *faultInjector) losesAnswer() bool {
	injector.mu.Lock()
	defer injector.mu.Unlock()
	if injector.faults.LoseAnswers == 0 {
		return false
	}
	injector.faults.LoseAnswers--
	return true
}
