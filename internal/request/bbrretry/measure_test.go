package bbrretry

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestMeasureExtraLoad prints the load that retries add to a pool in which a
// fraction of the attempts fails, with and without a shared retry budget. It
// asserts nothing.
func TestMeasureExtraLoad(t *testing.T) {
	for _, failureRate := range []float64{0.1, 0.5, 1} {
		for _, budgeted := range []bool{false, true} {
			random := rand.New(rand.NewPCG(5, 6))
			var budget Budget
			const requests = 20_000
			attempts, answered := 0, 0
			for range requests {
				budget.Deposit()
				for number := 1; ; number++ {
					attempts++
					if random.Float64() >= failureRate {
						answered++
						break
					}
					charged := &budget
					if !budgeted {
						charged = &Budget{}
					}
					a := Attempt{Number: number, Failure: ConnectionBroken, Idempotent: true, Deadline: time.Unix(2, 0)}
					if !Decide(a, charged, time.Unix(1, 0)).Retry {
						break
					}
				}
			}
			t.Logf("failing=%3.0f%% budget=%-5v extra load=%5.1f%% answered=%5.1f%%", 100*failureRate, budgeted,
				100*float64(attempts-requests)/requests, 100*float64(answered)/requests)
		}
	}
}

// TestBudgetBoundsRetries checks that retries are at most a tenth of the requests
// plus the initial balance.
func TestBudgetBoundsRetries(t *testing.T) {
	var budget Budget
	granted := 0
	const requests = 10_000
	for range requests {
		budget.Deposit()
		if budget.Withdraw() {
			granted++
		}
	}
	require.LessOrEqual(t, granted, requests/10+capUnits/tokenUnits)
}

// TestHealthEjectsAndRecovers checks that consecutive failures eject an instance,
// that a failure after the ejection ejects it for longer, and that a success ends
// the ejection.
func TestHealthEjectsAndRecovers(t *testing.T) {
	now := time.Unix(100, 0)
	var h Health
	for range ejectionThreshold - 1 {
		h.RecordFailure(now)
	}
	require.False(t, h.Ejected(now))
	h.RecordFailure(now)
	require.True(t, h.Ejected(now))
	require.False(t, h.Ejected(now.Add(minEjection)))
	h.RecordFailure(now.Add(minEjection))
	require.True(t, h.Ejected(now.Add(2*minEjection)))
	h.RecordSuccess()
	require.False(t, h.Ejected(now.Add(2*minEjection)))
}
