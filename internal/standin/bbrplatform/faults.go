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

type switches struct {
	mu     sync.Mutex
	faults Faults
}

func (s *switches) set(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

func (s *switches) delay() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.faults.DelayMillis) * time.Millisecond
}

func (s *switches) refuses(client string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.Down || slices.Contains(s.faults.CutClients, client)
}

func (s *switches) losesAnswer() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.LoseAnswers == 0 {
		return false
	}
	s.faults.LoseAnswers--
	return true
}
