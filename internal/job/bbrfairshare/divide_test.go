package bbrfairshare

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// epsilon covers rounding.
const epsilon = 1e-9

func drawResources(t *rapid.T, least, most int, name string) bbrwork.Resources {
	return bbrwork.Resources{MilliCPU: rapid.IntRange(least, most).Draw(t, name+"CPU"), MemoryMB: rapid.IntRange(least, most).Draw(t, name+"Memory")}
}

func drawOrganisations(t *rapid.T) []Organisation {
	organisations := make([]Organisation, rapid.IntRange(1, 20).Draw(t, "organisations"))
	for i := range organisations {
		o := &organisations[i]
		o.Weight = rapid.SampledFrom([]float64{0, 0.5, 1, 3, 40}).Draw(t, "weight")
		o.Use = drawResources(t, 0, 2000, "use")
		o.Demand = o.Use.Plus(drawResources(t, 0, 4000, "waiting"))
	}
	return organisations
}

// taken returns what the fair shares take of the capacity together.
func taken(capacity bbrwork.Resources, organisations []Organisation, shares []Share) (cpu, memory float64) {
	for i, share := range shares {
		if share.Wanted > 0 {
			wantedCPU, wantedMemory := parts(organisations[i].Demand, capacity)
			cpu += wantedCPU * share.Fair / share.Wanted
			memory += wantedMemory * share.Fair / share.Wanted
		}
	}
	return cpu, memory
}

// TestSharesAreWeightedMaxMin guards against shares that together exceed the capacity, that
// leave capacity idle which somebody wants, or that give an organisation more for its weight
// than one that wants more.
func TestSharesAreWeightedMaxMin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := drawResources(t, 1, 20_000, "capacity")
		organisations := drawOrganisations(t)
		shares := Divide(capacity, organisations, nil)
		cpu, memory := taken(capacity, organisations, shares)
		require.LessOrEqual(t, max(cpu, memory), 1+epsilon)
		for i, share := range shares {
			require.LessOrEqual(t, share.Fair, share.Wanted)
			require.LessOrEqual(t, share.Fair, share.Limit)
			if !share.Unsatisfied() {
				continue
			}
			require.InDelta(t, 1, max(cpu, memory), epsilon, "capacity is left while somebody wants more")
			for j, other := range shares {
				switch weight := organisations[i].Weight; {
				case organisations[j].Weight > 0 && weight > 0:
					require.LessOrEqual(t, other.Fair/organisations[j].Weight, share.Fair/weight+epsilon)
				case weight > 0:
					require.LessOrEqual(t, other.Fair, epsilon, "an organisation without a weight is served before one with a weight")
				}
			}
		}
	})
}

// TestSharesAreMonotone guards against an organisation that loses by a larger weight or by
// more capacity, or gains by what another one wants.
func TestSharesAreMonotone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := drawResources(t, 1, 20_000, "capacity")
		organisations := drawOrganisations(t)
		shares := Divide(capacity, organisations, nil)
		at := rapid.IntRange(0, len(organisations)-1).Draw(t, "at")
		changed := append([]Organisation(nil), organisations...)
		changed[at].Weight *= 2
		require.GreaterOrEqual(t, Divide(capacity, changed, nil)[at].Fair, shares[at].Fair-epsilon)

		changed[at] = organisations[at]
		changed[at].Demand = changed[at].Demand.Times(3)
		more := Divide(capacity, changed, nil)
		for i := range shares {
			if i == at {
				require.GreaterOrEqual(t, more[i].Fair, shares[i].Fair-epsilon)
				continue
			}
			require.LessOrEqual(t, more[i].Fair, shares[i].Fair+epsilon)
		}
		larger := Divide(capacity.Times(2), organisations, nil)
		for i := range shares {
			require.GreaterOrEqual(t, 2*larger[i].Fair, shares[i].Fair-epsilon)
		}
	})
}

// TestBeyondShare checks what is beyond a share: nobody while the capacity suffices, and
// whoever uses as much as its weight allows while it does not.
func TestBeyondShare(t *testing.T) {
	capacity := bbrwork.Resources{MilliCPU: 10_000, MemoryMB: 10_000}
	amount := func(milliCPU int) bbrwork.Resources { return bbrwork.Resources{MilliCPU: milliCPU, MemoryMB: 10} }
	organisations := []Organisation{
		{Weight: 3, Use: amount(6000), Demand: amount(9000)},
		{Weight: 1, Use: amount(500), Demand: amount(5000)},
		{Weight: 1, Use: amount(0), Demand: amount(1000)},
		{Use: amount(10), Demand: amount(100)},
	}
	shares := Divide(capacity, organisations, nil)
	beyond := make([]bool, len(shares))
	for i, share := range shares {
		beyond[i] = share.Beyond(share.Used)
	}
	require.Equal(t, []bool{false, false, false, true}, beyond)
	require.InDelta(t, 0.675, shares[0].Fair, epsilon)
	require.True(t, shares[0].Beyond(0.68))
	for _, share := range Divide(capacity.Times(2), organisations, nil) {
		require.False(t, share.Beyond(share.Used))
	}
}
