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

// Class is a class of equal jobs.
type Class struct {
	Name string
	// Prefix is the URL path before a job's ID.
	Prefix string
	// Units is the number of work units in each step. Each of the Steps steps depends
	// on the one before.
	Units, Steps int
	// Work is how long a work unit takes.
	Work time.Duration
}

// Load describes the jobs and the entries to which they are submitted.
type Load struct {
	Entries []netip.AddrPort
	// Host is the Host header of all calls.
	Host    string
	Classes []Class
	Jobs    int
	// MeanInterval is the mean of the exponentially distributed time between two
	// submissions.
	MeanInterval time.Duration
	// BurstDuration is the length of the demand bursts, which the classes have one
	// after the other. In its burst, a class gets burstShare of the jobs, and its even
	// share of the rest. 0 means that demand is even.
	BurstDuration time.Duration
	// CancelledShare and PoisonedShare are the shares of the jobs, 0 to 1, that their
	// caller cancels and whose work units always fail.
	CancelledShare, PoisonedShare float64
	// Timeout bounds the time from a job's first submission to its end.
	Timeout time.Duration
	// Seed determines the jobs, the times of their submission and the entries that are
	// called.
	Seed uint64
}

// burstShare is the share of the jobs that belongs to the class in its demand burst.
const burstShare = 0.85

// Run submits all jobs and waits until each has ended or timed out.
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

// classAt draws the class of the job that is submitted at an offset from the start.
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
