package bbrcrash

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestStanding(t *testing.T) {
	crash := func(others int, youngest, certain bool) Crash {
		return Crash{Upstream: "i-1", Others: others, Youngest: youngest, Certain: certain}
	}
	presumed := Crash{Upstream: "i-1", Presumed: true}
	unseen := (&Trial{Upstream: "i-1"}).AssumedCrash(time.Unix(0, 0))
	bystander, suspect, alone := crash(9, false, true), crash(9, true, true), crash(0, true, true)
	for _, test := range []struct {
		name    string
		history History
		want    Standing
	}{
		{"no crash", nil, Clear},
		{"among older runs", History{bystander}, Clear},
		{"among the youngest runs", History{suspect}, Apart},
		{"among older runs twice", History{bystander, bystander}, Apart},
		{"among the youngest twice", History{suspect, suspect}, Isolated},
		{"alone by chance, twice", History{alone, alone}, Isolated},
		{"beside others three times", History{suspect, suspect, suspect}, Isolated},
		{"third crash alone", History{suspect, suspect, alone}, GivenUp},
		{"third crash alone by chance", History{bystander, suspect, alone}, Isolated},
		{"fourth crash alone, slow to crash", History{bystander, bystander, bystander, alone}, GivenUp},
		{"third crash alone, one certain", History{crash(9, true, false), crash(9, true, false), alone}, Isolated},
		{"four crashes beside others, each time among the youngest", History{suspect, suspect, suspect, suspect}, GivenUp},
		{"presumed once", History{presumed}, Apart},
		{"presumed many times", History{presumed, presumed, presumed, presumed, presumed}, Apart},
		{"presumed, then alone by chance", History{presumed, presumed, alone}, Apart},
		{"presumed, then trials that nobody saw end", History{presumed, unseen, unseen}, Isolated},
		{"trials that nobody saw end, then alone", History{presumed, unseen, unseen, alone}, Isolated},
		{"the same, once more", History{presumed, unseen, unseen, alone, alone}, GivenUp},
		{"three trials that nobody saw end, then alone", History{presumed, unseen, unseen, unseen, alone}, GivenUp},
		{"four youngest starts that were never answered", History{crash(5, true, false), crash(1, true, false), crash(0, true, false), crash(0, true, false)}, Isolated},
		{"one of which was answered", History{crash(0, true, true), crash(1, true, false), crash(0, true, false), crash(0, true, false)}, Isolated},
		{"two of which were answered", History{crash(5, true, true), crash(1, true, true), crash(1, true, false), crash(1, true, false)}, GivenUp},
		{"starts that were never answered", History{bystander, crash(1, true, false), crash(0, true, false), crash(0, false, false)}, Isolated},
		{"many crashes beside others at any age", History{bystander, suspect, bystander, suspect, bystander, suspect}, Isolated},
	} {
		require.Equal(t, test.want, test.history.Standing(), test.name)
	}
}
