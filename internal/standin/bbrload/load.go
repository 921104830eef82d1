package bbrload

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrpause"
)

// Class is one kind of jobs.
type Class struct {
	Name string
	// Prefix is the path before a job's ID.
	Prefix string
	// Units is the width of each step, and Steps how many follow each other.
	Units, Steps int
	// Work is how long a work unit takes.
	Work time.Duration
}

// Load describes the jobs and who takes them.
type Load struct {
	Entries []netip.AddrPort
	Host    string
	Classes []Class
	Jobs    int
	// MeanInterval is the mean time between two submissions; they come at random.
	MeanInterval time.Duration
	// BurstDuration is how long one class after the other has its turn of demand, in which
	// it gets turnShare of the jobs; 0 for even demand.
	BurstDuration time.Duration
	// CancelledShare and Poisoned are shares of the jobs, 0 to 1, that their caller
	// cancels and that fail by their own fault.
	CancelledShare, PoisonedShare float64
	// Timeout bounds the time from a job's first submission to its end.
	Timeout time.Duration
	// Seed decides the jobs, when they come and which entries are asked.
	Seed uint64
}

// burstShare is the share of the jobs that the class whose turn it is gets.
const burstShare = 0.85

// Run submits all jobs and waits for their ends.
func (l *Load) Run(ctx context.Context) Report {
	loadStart := time.Now()
	random := rand.New(rand.NewPCG(l.Seed, 0))
	client := &http.Client{Timeout: callTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: idleConnections}}
	outcomes := make([]Outcome, l.Jobs)
	var wg sync.WaitGroup
	offset := time.Duration(0)
	for i := range outcomes {
		c := l.newCaller(i, l.classAt(offset, random), client)
		c.outcome = &outcomes[i]
		bbrpause.For(ctx, time.Until(loadStart.Add(offset)))
		wg.Go(func() { c.run(ctx, loadStart) })
		offset += time.Duration(random.ExpFloat64() * float64(l.MeanInterval))
	}
	wg.Wait()
	return Report{Seed: l.Seed, Outcomes: outcomes}
}

// classAt returns the class of a job that comes at a time.
func (l *Load) classAt(offset time.Duration, random *rand.Rand) *Class {
	uniform := &l.Classes[random.IntN(len(l.Classes))]
	inBurst := random.Float64() < burstShare
	if l.BurstDuration <= 0 || !inBurst {
		return uniform
	}
	return &l.Classes[int(offset/l.BurstDuration)%len(l.Classes)]
}

func (l *Load) newCaller(number int, class *Class, client *http.Client) *caller {
	random := rand.New(rand.NewPCG(l.Seed, uint64(number)+1))
	c := &caller{load: l, class: class, random: random, client: client, id: fmt.Sprintf("%016x", random.Uint64())}
	c.cancelsJob = random.Float64() < l.CancelledShare
	c.poisoned = random.Float64() < l.PoisonedShare
	return c
}
