package bbrquota

import (
	"time"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// Account is what the owner of a shard knows about one organisation. The zero value
// belongs to an organisation without a cap.
type Account struct {
	// Cap is the organisation's cap in the configuration that the owner applies.
	Cap bbrwork.Resources
	// Held is the shard's share of the cap that this owner may use. It never exceeds
	// what the store has, nor what a release in flight will leave there.
	Held bbrwork.Resources
	// Others is what the other shards have together, as last read.
	Others bbrwork.Resources
	// Verified means that Others was read after the owner had applied the configuration
	// that it applies now. Once Held and Others were within the cap at such a time, the
	// shares stay within it.
	Verified bool
	// Used is what the organisation's runs on the shard's upstreams use, including
	// those that may run.
	Used bbrwork.Resources

	// blocked is what could have started in the last plan with a larger share, and
	// reserve what an earlier owner may have started that is not located yet.
	blocked, reserve bbrwork.Resources
	// lastNeed is what the last work unit needed for which the share was checked.
	lastNeed bbrwork.Resources
	// highAt is when the share was last needed in full, and usedAt when any of it was.
	highAt, usedAt time.Time
}

const (
	// releaseDelay is how long a part of a share must be idle before it is released.
	releaseDelay = 1500 * time.Millisecond
	// slack is the part of a share that may be idle, as a divisor: a share is larger
	// than the use by 1/slack of it.
	slack = 4
	// idleRetention is how long a shard keeps its idle share after its last use.
	idleRetention = 10 * time.Second
	// idleParts is the divisor of a cap that gives all idle shares together.
	idleParts = 4
)

// SetCap applies the cap of a new configuration. The shares have to be read again, even
// if the cap is as before: other shards may have grown under a configuration in between.
func (a *Account) SetCap(limit bbrwork.Resources) { a.Cap, a.Verified = limit, false }

// BeginPlan forgets what the last plan needed. reserve is what an earlier owner may
// have started on upstreams that have not answered yet.
func (a *Account) BeginPlan(reserve bbrwork.Resources) {
	a.blocked, a.reserve = bbrwork.Resources{}, reserve
}

// Allows reports whether work with the need may start. A work unit that alone exceeds
// the cap may run if nothing else of the organisation does.
func (a *Account) Allows(need bbrwork.Resources) bool {
	if !bounded(a.Cap) {
		return true
	}
	a.lastNeed = need
	busy := a.Used.Plus(a.reserve)
	switch {
	case !a.Verified || !within(busy.Plus(need), a.Held, a.Cap):
		return false
	case a.exceeded():
		return a.Others == bbrwork.Resources{} && busy == bbrwork.Resources{}
	default:
		return true
	}
}

// exceeded reports whether the shares together exceed the cap.
func (a *Account) exceeded() bool { return !within(a.Held.Plus(a.Others), a.Cap, a.Cap) }

// Block records that work with the need could start with a larger share.
func (a *Account) Block(need bbrwork.Resources) { a.blocked = a.blocked.Plus(need) }

// Blocked reports whether work was held up by the share in the last plan.
func (a *Account) Blocked() bool { return a.blocked != bbrwork.Resources{} }

// Wants reports whether the account has to be looked at: its share should change, or
// the shares have to be read before work can start. shards is the number of shards.
func (a *Account) Wants(shards int, now time.Time) bool {
	return a.Blocked() || a.Target(shards, now) != a.Held
}

// Target returns the share that the shard should have. A share that does not suffice
// grows by more than the need, so that it grows rarely. A share that has been idle in
// part for releaseDelay shrinks to what is needed; while the shares exceed the cap, it
// shrinks at once to what is in use.
func (a *Account) Target(shards int, now time.Time) bbrwork.Resources {
	busy := a.Used.Plus(a.reserve)
	need := busy.Plus(a.blocked)
	if need != (bbrwork.Resources{}) {
		a.usedAt = now
	}
	switch {
	case !bounded(a.Cap) || !a.Verified:
		return a.Held
	case a.exceeded():
		return a.Held.Min(busy.Max(a.oversize(busy)))
	case !within(need, a.Held, a.Cap):
		return a.Held.Max(a.grown(need)).Max(a.oversize(busy))
	default:
		return a.shrunk(need, a.idleShare(shards, now), now)
	}
}

// oversize returns the share for a blocked work unit that alone exceeds the cap, if
// nothing else of the organisation runs or may run.
func (a *Account) oversize(busy bbrwork.Resources) bbrwork.Resources {
	alone := a.Others == bbrwork.Resources{} && busy == bbrwork.Resources{}
	if alone && a.Blocked() && !within(a.lastNeed, a.Cap, a.Cap) {
		return a.lastNeed
	}
	return bbrwork.Resources{}
}

// grown returns the share for a need, as far as the other shares leave it.
func (a *Account) grown(need bbrwork.Resources) bbrwork.Resources {
	available := a.Cap.Minus(a.Others).Max(bbrwork.Resources{})
	rest := available.Minus(need).Max(bbrwork.Resources{})
	return available.Min(need.Plus(need.Min(rest).DividedBy(slack)))
}

// shrunk returns what remains of a share that covers the need.
func (a *Account) shrunk(need, idle bbrwork.Resources, now time.Time) bbrwork.Resources {
	enough := need.Plus(need.DividedBy(slack)).Max(idle)
	if within(a.Held, enough, a.Cap) || a.highAt.IsZero() {
		a.highAt = now
	}
	if now.Sub(a.highAt) < releaseDelay {
		return a.Held
	}
	return a.Held.Min(enough)
}

// idleShare returns what the shard keeps while it needs less, so that its next work
// starts without a call to the store. A part that is too small for a work unit would
// only be missing elsewhere.
func (a *Account) idleShare(shards int, now time.Time) bbrwork.Resources {
	share := a.Cap.DividedBy(idleParts * max(1, shards))
	if now.Sub(a.usedAt) > idleRetention || !within(a.lastNeed, share, a.Cap) {
		return bbrwork.Resources{}
	}
	return share
}
