package bbrcrash

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// Crash is the end of an incarnation on which a work unit ran, as evidence against the
// work unit.
type Crash struct {
	// Upstream and StartMillis identify the incarnation.
	Upstream    string `json:"upstream"`
	StartMillis int64  `json:"startMillis,omitempty"`
	// Run is the number of the work unit's run there.
	Run int       `json:"run"`
	At  time.Time `json:"at"`
	// Age is how long the run had lasted.
	Age time.Duration `json:"age"`
	// Others counts the other runs that may have caused the crash.
	Others int `json:"others,omitempty"`
	// Youngest means that no run there was started noticeably later.
	Youngest bool `json:"youngest,omitempty"`
	// Certain means that the run was seen to have started, and the incarnation to have
	// ended.
	Certain bool `json:"certain,omitempty"`
	// Presumed means that it is not known whether the work unit ran there: an earlier
	// owner may have started it.
	Presumed bool `json:"presumed,omitempty"`
}

// String returns a description for logs.
func (c Crash) String() string {
	return fmt.Sprintf("%s run %d after %d ms beside %d others", c.Upstream, c.Run, c.Age.Milliseconds(), c.Others)
}

// Trial is a run on an upstream that is reserved for it.
type Trial struct {
	Upstream    string `json:"upstream"`
	StartMillis int64  `json:"startMillis,omitempty"`
	Run         int    `json:"run"`
}

// On reports whether the trial is on the incarnation.
func (t *Trial) On(incarnation bbrwork.Incarnation) bool {
	return t != nil && t.Upstream == incarnation.ID && t.StartMillis == incarnation.StartMillis
}

// AssumedCrash returns the crash that the trial ended with if its incarnation ended and
// nobody saw how.
func (t *Trial) AssumedCrash(now time.Time) Crash {
	return Crash{Upstream: t.Upstream, StartMillis: t.StartMillis, Run: t.Run, At: now, Others: 1, Youngest: true}
}

// History has the crashes of a work unit since it was last cleared, oldest first.
type History []Crash

// Has reports whether the history has the end of the incarnation.
func (h History) Has(incarnation bbrwork.Incarnation) bool {
	return slices.ContainsFunc(h, func(c Crash) bool {
		return c.Upstream == incarnation.ID && c.StartMillis == incarnation.StartMillis
	})
}

// HasRun reports whether the history has an end of an incarnation under the run. A start without an
// answer counts as one on each incarnation of its upstream until it is settled, but a run ends at most one.
func (h History) HasRun(number int) bool {
	return slices.ContainsFunc(h, func(c Crash) bool { return c.Run == number && !c.Presumed })
}

// Standing is how a work unit with a history may be started.
type Standing uint8

var standingNames = [...]string{"clear", "apart", "isolated", "givenUp"}

// String returns the standing's name for logs.
func (s Standing) String() string { return standingNames[s] }

// The standings, from the least suspect to the most.
const (
	// Clear: like any other work unit.
	Clear Standing = iota
	// Apart: where few other suspects are, so that a further crash tells them apart.
	Apart
	// Isolated: only on an upstream without other work that could crash it.
	Isolated
	// GivenUp: never again.
	GivenUp
)

const (
	// A work unit that was twice among the youngest runs of a crashed upstream is
	// isolated: by chance this is rare. One that was among older runs, which is common
	// near a crashing unit, takes a crash more.
	isolatedAfterYoungest = 2
	isolatedAfter         = 3
	// A work unit that was isolated is given up after a crash while it was alone.
	// givenUpAfterYoungest is the number of crashes beside others after which it is given
	// up if it was among the youngest runs each time, and was twice seen to have started:
	// upstreams that had ended before answer no start either. Harmless work near crashing
	// work, long-running work above all, sees as many crashes, but at any age.
	givenUpAfterYoungest = 4
	// No unit is given up without minCertain certain crashes, or for a crash alone with
	// enoughUncertain ones of which the last is certain.
	minCertain      = 2
	enoughUncertain = 4
)

// Standing returns the standing of a work unit with the history. Presumed crashes only
// set the work unit apart, so that its next start is stored.
func (h History) Standing() Standing {
	if len(h) == 0 {
		return Clear
	}
	earlier, last := h[:len(h)-1], h[len(h)-1]
	c := h.counts()
	switch {
	case c.youngest >= givenUpAfterYoungest && c.certain >= minCertain, earlier.isolates() && last.provesAlone() && c.suffice(last):
		return GivenUp
	case h.isolates():
		return Isolated
	case c.youngest > 0 || len(h) > 1 || c.presumed > 0:
		return Apart
	default:
		return Clear
	}
}

// isolates reports whether the history suffices to isolate the work unit.
func (h History) isolates() bool {
	c := h.counts()
	return c.youngest >= isolatedAfterYoungest || c.known >= isolatedAfter
}

// provesAlone reports whether nothing else can have caused the crash.
func (c Crash) provesAlone() bool { return c.Others == 0 && !c.Presumed }

// counts has the numbers of crashes by what is known of them.
type counts struct {
	// known are those that are not presumed.
	known, presumed, youngest, certain int
}

// suffice reports whether the crashes suffice to give a work unit up after the last one,
// which was alone.
func (c counts) suffice(last Crash) bool {
	return c.certain >= minCertain || last.Certain && c.known >= enoughUncertain
}

func (h History) counts() counts {
	var c counts
	for _, crash := range h {
		if crash.Presumed {
			c.presumed++
			continue
		}
		c.known++
		if crash.Youngest {
			c.youngest++
		}
		if crash.Certain {
			c.certain++
		}
	}
	return c
}

// String describes the crashes for logs and explanations.
func (h History) String() string {
	texts := make([]string, 0, len(h))
	for _, crash := range h {
		texts = append(texts, crash.String())
	}
	return strings.Join(texts, "; ")
}
