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
	// OthersWait is the longest wait of another shard, as last read. It is acted on once.
	OthersWait Wait
	// Verified means that Others was read after the owner had applied the configuration
	// that it applies now. Once Held and Others were within the cap at such a time, the
	// shares stay within it.
	Verified bool
	// Used is what the organisation's runs on the shard's upstreams use, including
	// those that may run.
	Used bbrwork.Resources
	// Unknown means that Used may lack runs. Then nothing starts, and the share stays.
	Unknown bool

	// blocked is what could have started in the last plan with a larger share, and
	// reserve what an earlier owner may have started that is not located yet.
	blocked, reserve bbrwork.Resources
	// lastNeed is what the last work unit needed for which the share was checked.
	lastNeed bbrwork.Resources
	// prepared means that the shard has had its idle share, and takes it again only when
	// it needs it.
	prepared bool
	// waitingSince is when work began to wait for what other shards have; zero if none
	// does.
	waitingSince time.Time
}

const (
	// growthSlack and releaseSlack are the parts of a share, as divisors, by which it
	// exceeds the need after it has grown, and after parts of it were released.
	growthSlack, releaseSlack = 2, 4
	// idleParts is the divisor of a cap that gives all idle shares together.
	idleParts = 2
	// longWait is how long work waits before the other shards should release all that is
	// idle.
	longWait = time.Second
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
	busy := a.busy()
	switch {
	case a.Unknown || !a.Verified || !within(busy.Plus(need), a.Held, a.Cap):
		return false
	case a.exceeded():
		return a.Others == bbrwork.Resources{} && busy == bbrwork.Resources{}
	default:
		return true
	}
}

// busy returns what runs or may run.
func (a *Account) busy() bbrwork.Resources { return a.Used.Plus(a.reserve) }

// exceeded reports whether the shares together exceed the cap.
func (a *Account) exceeded() bool { return !within(a.Held.Plus(a.Others), a.Cap, a.Cap) }

// Block records that work with the need could start with a larger share. free is what is
// free on the upstreams: more could not start in any case.
func (a *Account) Block(need, free bbrwork.Resources) {
	a.blocked = a.blocked.Plus(need).Min(free.Max(bbrwork.Resources{}))
}

// Blocked reports whether work was held up by the share in the last plan.
func (a *Account) Blocked() bool { return a.blocked != bbrwork.Resources{} }

// Wait returns whether and how work waits for a larger share than the other shards leave.
func (a *Account) Wait(now time.Time) Wait {
	switch {
	case !a.Blocked() || !a.Verified || within(a.busy().Plus(a.blocked), a.available(), a.Cap):
		a.waitingSince = time.Time{}
		return NoWait
	case a.waitingSince.IsZero():
		a.waitingSince = now
	}
	if now.Sub(a.waitingSince) < longWait {
		return WaitShort
	}
	return WaitLong
}

// available returns the largest share that the other shards leave.
func (a *Account) available() bbrwork.Resources {
	return a.Cap.Minus(a.Others).Max(bbrwork.Resources{})
}

// Target returns the share that the shard should have; shards is the number of shards.
// Each keeps an idle share, so that its work starts without a call to the store. A share
// that does not suffice grows by more than the need, so that it grows rarely. While
// another shard waits, it shrinks; while the shares exceed the cap, it shrinks at once to
// what is in use.
func (a *Account) Target(shards int) bbrwork.Resources {
	busy := a.busy()
	need := busy.Plus(a.blocked)
	goal := need
	if !a.prepared || !within(need, a.Held, a.Cap) {
		goal = need.Max(a.idleShare(shards))
	}
	switch {
	case !bounded(a.Cap) || !a.Verified || a.Unknown:
		return a.Held
	case a.exceeded():
		return a.Held.Min(busy).Max(a.oversize(busy))
	case !within(goal, a.Held, a.Cap):
		return a.Held.Max(a.grown(need).Max(goal).Min(a.available())).Max(a.oversize(busy))
	default:
		return a.afterRelease(need)
	}
}

// afterRelease returns what remains of the share after a release for the waiting shards.
func (a *Account) afterRelease(need bbrwork.Resources) bbrwork.Resources {
	rest := need.Plus(need.DividedBy(releaseSlack))
	switch a.OthersWait {
	case WaitLong:
		return a.Held.Min(rest)
	case WaitShort:
		return a.Held.Min(rest.Max(a.Held.DividedBy(2)))
	default:
		return a.Held
	}
}

// Idle reports whether the shard has much more than it needs.
func (a *Account) Idle() bool {
	need := a.busy().Plus(a.blocked)
	return bounded(a.Cap) && !within(a.Held, need.Plus(need), a.Cap)
}

// Begin records that a change of the share to the target is under way. A share that
// becomes smaller may be used no longer, one that becomes larger not yet.
func (a *Account) Begin(target bbrwork.Resources) {
	a.prepared = a.prepared || !target.Fits(a.Held)
	a.Held = a.Held.Min(target)
	a.OthersWait = NoWait
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

// grown returns the share for a need, with slack if no other shard waits.
func (a *Account) grown(need bbrwork.Resources) bbrwork.Resources {
	if a.OthersWait != NoWait {
		return need
	}
	rest := a.available().Minus(need).Max(bbrwork.Resources{})
	return need.Plus(need.Min(rest).DividedBy(growthSlack))
}

// idleShare returns what the shard keeps while it needs less. A part that is too small
// for a work unit would only be missing elsewhere.
func (a *Account) idleShare(shards int) bbrwork.Resources {
	share := a.Cap.DividedBy(idleParts * max(1, shards))
	if !within(a.lastNeed, share, a.Cap) {
		return bbrwork.Resources{}
	}
	return share
}
