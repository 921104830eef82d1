package bbrscheduler

import (
	"time"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// upstream is one life of an upstream as the ledger knows it.
type upstream struct {
	bbrwork.Upstream
	// registered means that the store lists this life; left is since when it does
	// not.
	registered bool
	left       time.Time
	// reserved is when planned work took the instance: nothing new goes there.
	// It is zero while none does.
	reserved time.Time
	// reached means that it has answered under this token.
	reached bool
	runs    map[runKey]*run
	used    bbrwork.Resources
	// clock is the upstream's clock as of clockAt.
	clock   time.Duration
	clockAt time.Time
	// leased is when, by this process's clock, all that an order of this owner
	// keeps running there has certainly ended.
	leased time.Time
	// applied is the highest end that was applied, and acknowledged the highest
	// whose effects are stored.
	applied, acknowledged int64
	health                health
	// fullUntil keeps starts away after a refusal for want of room.
	fullUntil time.Time
	// starting counts the starts on their way.
	starting int
	// lasting counts the runs of lasting work, which are in runs as well.
	lasting int
	// held is the part of used that lasting work takes.
	held bbrwork.Resources
	// lost counts the answers lost in a row, and silentAt is when the first was.
	lost     int
	silentAt time.Time
	// lapsed are runs that were dropped when the lease ended; their ends no
	// longer count.
	lapsed map[runKey]bool
	// strays are listed runs of jobs that are not known.
	strays map[runKey]*stray
}

// known tells whether the upstream's clock is known.
func (up *upstream) known() bool { return !up.clockAt.IsZero() }

// clockNow estimates the upstream's clock from below: it is not ahead of the
// real one by more than the time that the answer was on its way.
func (up *upstream) clockNow(now time.Time) time.Duration {
	return up.clock + now.Sub(up.clockAt)
}

// heard notes the upstream's clock. The answer's arrival is taken for the
// reading's time.
func (up *upstream) heard(clock time.Duration, now time.Time) {
	up.clock, up.clockAt = clock, now
	up.lost = 0
}

// free returns the room that is left.
func (up *upstream) free() bbrwork.Resources { return up.Room.Minus(up.used) }

// leftByLasting returns the room that is left once all work that ends has ended.
func (up *upstream) leftByLasting() bbrwork.Resources { return up.Room.Minus(up.held) }

func (up *upstream) emptyRoom() bbrwork.Resources { return up.Room }

// RegisterUpstream tells the ledger of a registration. Another life under the same ID
// ends what ran in the earlier one.
func (l *Scheduler) RegisterUpstream(in bbrwork.Upstream, now time.Time) {
	if l.dead[in.Life] {
		return
	}
	known := l.upstreams[in.ID]
	if known != nil && known.Born != in.Born && known.Born != 0 {
		if in.Born < known.Born {
			return
		}
		l.ended(known, "reborn", now)
		known = nil
	}
	if known == nil {
		known = &upstream{runs: make(map[runKey]*run)}
		if l.reserved[in.ID] {
			known.reserved = now
		}
		l.addUpstream(known, in.ID)
	}
	if in.Draining && !known.Draining {
		l.note(now, "Upstream drains", "upstream", in.ID, "runs", len(known.runs), "leaves", in.Leaving)
	}
	known.Upstream = in
	known.registered = true
}

// UnregisterUpstream tells the ledger that the store lists the upstream no more.
func (l *Scheduler) UnregisterUpstream(id string, now time.Time) {
	up := l.upstreams[id]
	if up == nil {
		return
	}
	up.registered, up.left = false, now
	if len(up.runs) == 0 && up.reached && len(up.lapsed) == 0 {
		l.removeUpstream(id)
	}
}

// SetReserved keeps new work off the upstreams of these IDs, and lets it back to
// all others.
func (l *Scheduler) SetReserved(ids map[string]bool, now time.Time) {
	l.reserved = ids
	for id, up := range l.upstreams {
		switch {
		case !ids[id]:
			up.reserved = time.Time{}
		case up.reserved.IsZero():
			up.reserved = now
			l.note(now, "Upstream reserved", "upstream", id, "runs", len(up.runs))
		}
	}
}

// Drained returns the reserved upstreams on which nothing runs or may be
// starting, in order. Those that are not known as this service's are left out.
func (l *Scheduler) Drained(now time.Time) []string {
	if !l.EarlierWorkLocated(now) {
		return nil
	}
	var ids []string
	for _, up := range l.sortedUpstreams() {
		if !up.reserved.IsZero() && len(up.runs) == 0 && up.reached {
			ids = append(ids, up.ID)
		}
	}
	return ids
}

// EndIncarnation tells the ledger that a life has certainly ended.
func (l *Scheduler) EndIncarnation(life bbrwork.Life, why string, now time.Time) {
	if up := l.upstreams[life.ID]; up != nil && up.Born == life.Born {
		l.ended(up, why, now)
	}
}

// doubtAfter is how long an upstream with work may be silent before it is
// doubted.
const doubtAfter = 300 * time.Millisecond

// Unverified returns the lives of which it matters whether they are still there:
// those that an earlier owner used and that were not reached yet, and silent
// ones with work.
func (l *Scheduler) Unverified(now time.Time) []bbrwork.Life {
	var lives []bbrwork.Life
	for _, up := range l.sortedUpstreams() {
		silent := len(up.runs) > 0 && !up.silentAt.IsZero() && now.Sub(up.silentAt) > doubtAfter
		if silent || l.unlocated[up.Life] && up.lost > 0 {
			lives = append(lives, up.Life)
		}
	}
	return lives
}

// ended drops a life with all that ran in it.
func (l *Scheduler) ended(up *upstream, why string, now time.Time) {
	l.note(now, "Upstream ended", "upstream", up.ID, "born", up.Born, "reason", why, "runs", len(up.runs))
	for _, r := range up.runs {
		l.dropRun(r, now)
	}
	l.removeUpstream(up.ID)
	l.dead[up.Life] = true
	l.locate(up.Life, now)
}

// locate notes that what runs in a life is known.
func (l *Scheduler) locate(life bbrwork.Life, now time.Time) {
	if !l.unlocated[life] {
		return
	}
	delete(l.unlocated, life)
	if len(l.unlocated) == 0 {
		l.note(now, "All earlier work located", "after", now.Sub(l.began).Round(time.Millisecond))
	}
}

// ExpireLeases drops what ran on silent upstreams whose lease has certainly ended. One
// that answers lists how its runs ended, also where this owner was late to renew.
func (l *Scheduler) ExpireLeases(now time.Time) {
	for _, up := range l.sortedUpstreams() {
		if len(up.runs) > 0 && up.lost > 0 && !up.leased.IsZero() && now.After(up.leased) {
			l.lapse(up, now)
		}
	}
	l.forgetUnregistered(now)
	if len(l.unlocated) > 0 && now.After(l.settled) {
		l.settle(now)
	}
}

// settle gives up the lives that were never reached: what an earlier owner
// started there has ended with its lease.
func (l *Scheduler) settle(now time.Time) {
	l.note(now, "Earlier work settled by time", "unreached", len(l.unlocated))
	clear(l.unlocated)
	for _, up := range l.sortedUpstreams() {
		if !up.registered && !up.reached {
			l.note(now, "Upstream given up", "upstream", up.ID, "reason", "unregistered and never reached")
			l.removeUpstream(up.ID)
		}
	}
}

// forgetAfter is how long an upstream that the store lists no more is kept in
// mind: it may come back in the same life, with ends that no longer count.
const forgetAfter = time.Minute

func (l *Scheduler) forgetUnregistered(now time.Time) {
	for id, up := range l.upstreams {
		if !up.registered && up.reached && len(up.runs) == 0 && now.Sub(up.left) > forgetAfter {
			l.removeUpstream(id)
		}
	}
}

// lapse drops what ran on an upstream whose lease ended unrenewed. The upstream
// may come back with ends from before; they no longer count, since the work
// units may be at work elsewhere.
func (l *Scheduler) lapse(up *upstream, now time.Time) {
	l.note(now, "Upstream's lease ended unrenewed", "upstream", up.ID, "runs", len(up.runs), "lostAnswers", up.lost)
	if up.lapsed == nil {
		up.lapsed = make(map[runKey]bool)
	}
	for key, r := range up.runs {
		up.lapsed[key] = true
		l.dropRun(r, now)
	}
	up.leased = time.Time{}
}

// RenewalPlan is what a renewal of an upstream's lease should say.
type RenewalPlan struct {
	Upstream bbrwork.Upstream
	// LeaseUntil is 0 where the clock is not known yet, or where nothing may be
	// extended.
	LeaseUntil   time.Duration
	Acknowledged int64
	// Idle means that nothing runs and nothing is to be acknowledged.
	Idle bool
	// HasRuns means that work is or may be running there.
	HasRuns bool
	// HasOrphans means that runs of jobs that are not known are listed there.
	HasOrphans bool
}

// PlanRenewal returns what to tell an upstream. confirmed tells whether the claim
// still stands.
func (l *Scheduler) PlanRenewal(id string, confirmed bool, now time.Time) (RenewalPlan, bool) {
	up := l.upstreams[id]
	if up == nil {
		return RenewalPlan{}, false
	}
	plan := RenewalPlan{
		Upstream:     up.Upstream,
		Acknowledged: up.acknowledged,
		HasOrphans:   len(up.strays) > 0,
		Idle:         len(up.runs) == 0 && len(up.strays) == 0 && !l.unlocated[up.Life] && (!up.registered || up.acknowledged == up.applied && up.reached && up.lost == 0),
		HasRuns:      len(up.runs) > 0,
	}
	// An upstream that does not answer is only asked: each order that may reach
	// it would put off the time from which its work can start elsewhere.
	if up.known() && confirmed && len(up.runs) > 0 && up.lost == 0 {
		plan.LeaseUntil = up.clockNow(now) + l.Timing.Lease
		l.extend(up, now)
	}
	return plan, true
}

// extend notes that an order sent now keeps what runs there alive for a hold.
func (l *Scheduler) extend(up *upstream, now time.Time) {
	end := now.Add(leaseBound(l.Timing.Lease) + time.Duration(clockError*float64(now.Sub(up.clockAt))))
	if end.After(up.leased) {
		up.leased = end
	}
}

// UpstreamIDs returns the IDs of all upstreams that are known.
func (l *Scheduler) UpstreamIDs() []string {
	ids := make([]string, 0, len(l.upstreams))
	for id := range l.upstreams {
		ids = append(ids, id)
	}
	return ids
}

// HasUnacknowledgedEnds tells whether ends of the upstream are not stored yet.
func (l *Scheduler) HasUnacknowledgedEnds(id string) bool {
	up := l.upstreams[id]
	return up != nil && up.acknowledged < up.applied
}
