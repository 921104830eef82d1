package bbrdetector

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrpause"
	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrclaim"
	"github.com/bluebellridge/bluebellridge/internal/store/bbrkv"
)

const (
	// pingEvery is between two pings of an owner by one entry.
	pingEvery = 300 * time.Millisecond
	// confirmAfter is between a failed ping and the next, while the others are
	// asked: an owner that is merely out of processor time for a moment answers
	// one of the two.
	confirmAfter = 200 * time.Millisecond
	// youngest is how old a claim must be before its holder is doubted. A new
	// owner is busy with reading.
	youngest = 2 * time.Second
	// endTries and endRetry are how often, and with which pause, the lease of an
	// owner that is cut off is tried to be ended.
	endTries = 4
	endRetry = 200 * time.Millisecond
	// judgeEvery is between two rounds of questions about one owner.
	judgeEvery = time.Second
	// askedPerZone bounds the entries that are asked for their opinion.
	askedPerZone = 2
)

// Detector pings the owners that this entry watches. The zero value of a function
// field is not usable.
type Detector struct {
	// Entry is this entry's name.
	Entry     string
	Directory *bbrclaim.Directory
	// Ping returns an error where the entry at the address does not answer in
	// time.
	Ping func(ctx context.Context, address netip.AddrPort, within time.Duration, now time.Time) error
	// AskReachability asks the entry at the address whether it reaches, in time, the one
	// about which it is asked.
	AskReachability func(ctx context.Context, address, about netip.AddrPort, within time.Duration, now time.Time) Reachability
	// RevokeLease ends a lease.
	RevokeLease func(ctx context.Context, lease bbrkv.Lease) error
	// Event counts what happened.
	Event func(name string)

	mu sync.Mutex
	// watched has the owners that are watched now, by lease.
	watched map[bbrkv.Lease]*owner
	wg      sync.WaitGroup
}

// owner is what is known of an owner by pings.
type owner struct {
	watch *Detector
	bbrclaim.Owner
	since time.Time
	// patience is for the owner's answers.
	patience patience
	// reached is set by the first answer. One that never answered may be out of
	// reach by its installation, and is not doubted.
	reached bool
	// pinging is set while a ping is under way.
	pinging bool
	// judged is when the others were last asked about it.
	judged time.Time
	// reported is set while the log's last word is that it is doubted.
	reported bool
	// ended is set once the lease was ended.
	ended bool
}

// Run watches until ctx ends.
func (w *Detector) Run(ctx context.Context) {
	for ctx.Err() == nil {
		w.round(ctx, time.Now())
		bbrpause.For(ctx, pingEvery)
	}
	w.wg.Wait()
}

// round pings each watched owner whose last ping has ended.
func (w *Detector) round(ctx context.Context, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	before := w.watched
	w.watched = make(map[bbrkv.Lease]*owner)
	for _, found := range w.Directory.OwnersWatchedBy(w.Entry, now) {
		o := before[found.Lease]
		if o == nil {
			o = &owner{watch: w, Owner: found, since: now}
		}
		w.watched[found.Lease] = o
		o.RecentSuccessor = found.RecentSuccessor
		if !o.pinging {
			o.pinging = true
			w.wg.Go(func() { o.run(ctx, now) })
		}
	}
}

// run pings the owner once, and takes its claims away where it is cut off.
func (o *owner) run(ctx context.Context, now time.Time) {
	w := o.watch
	within := o.within()
	err := w.Ping(ctx, o.PeerAddress, within, now)
	if err == nil {
		o.answered(time.Since(now))
	}
	ended := false
	if err != nil && ctx.Err() == nil && o.doubt(now, err) {
		w.Event("reach:doubted")
		ended = o.judge(ctx, err, within)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	o.reached = o.reached || err == nil
	o.reported = o.reported && err != nil
	o.ended = o.ended || ended
	o.pinging = false
}

func (o *owner) within() time.Duration {
	o.watch.mu.Lock()
	defer o.watch.mu.Unlock()
	return o.patience.within()
}

func (o *owner) answered(took time.Duration) {
	o.watch.mu.Lock()
	defer o.watch.mu.Unlock()
	o.patience.answered(took)
}

// doubt tells whether the owner should be judged now. One that has just
// succeeded another is judged only if its address refuses connections: what made
// the other silent may be the load, and then it would take all owners in turn.
func (o *owner) doubt(now time.Time, reason error) bool {
	o.watch.mu.Lock()
	defer o.watch.mu.Unlock()
	if o.RecentSuccessor && !refused(reason) {
		return false
	}
	if !o.reached || o.ended || now.Sub(o.since) < youngest || now.Sub(o.judged) < judgeEvery {
		return false
	}
	o.judged = now
	return true
}

// judge asks others, and ends the owner's lease if they agree that it is cut
// off. It tells whether the lease has ended.
func (o *owner) judge(ctx context.Context, reason error, within time.Duration) bool {
	w := o.watch
	opinions := o.gather(ctx, within)
	if !UnreachableByMajority(opinions) {
		if o.report(slices.Contains(opinions, Reachable)) {
			klog.InfoS("Owner doubted", "entry", o.Entry, "zone", o.Zone, "lease", o.Lease, "within", within, "reason", reason.Error(), "opinions", names(opinions))
		}
		return false
	}
	err := o.endLease(ctx)
	if err != nil {
		klog.InfoS("Owner cut off, its lease cannot be ended", "entry", o.Entry, "zone", o.Zone, "lease", o.Lease, "opinions", names(opinions), "error", err.Error())
		return false
	}
	klog.InfoS("Owner cut off, its lease ended", "entry", o.Entry, "zone", o.Zone, "lease", o.Lease, "within", within, "reason", reason.Error(), "opinions", names(opinions))
	w.Event("reach:ended")
	return true
}

// endLease ends the owner's lease. It tries again while the judgement is fresh,
// since the store may be on its way back.
func (o *owner) endLease(ctx context.Context) error {
	var err error
	for range endTries {
		err = o.watch.RevokeLease(ctx, o.Lease)
		if err == nil || errors.Is(err, bbrkv.ErrNotFound) {
			return nil
		}
		bbrpause.For(ctx, endRetry)
	}
	return err
}

// report notes that the doubt was false and tells whether a line about it is due:
// one for each time that the owner stops answering.
func (o *owner) report(reached bool) bool {
	o.watch.mu.Lock()
	defer o.watch.mu.Unlock()
	if reached {
		o.patience.reached()
	}
	due := !o.reported
	o.reported = true
	return due
}

// gather returns this entry's opinion by another ping, and those of others.
func (o *owner) gather(ctx context.Context, within time.Duration) []Reachability {
	w := o.watch
	asked := w.Directory.SampleAddresses(askedPerZone, w.Entry, o.Entry)
	opinions := make([]Reachability, len(asked)+1)
	var wg sync.WaitGroup
	for i, address := range asked {
		wg.Go(func() { opinions[i] = w.AskReachability(ctx, address, o.PeerAddress, within, time.Now()) })
	}
	bbrpause.For(ctx, confirmAfter)
	opinions[len(asked)] = ReachabilityOf(w.Ping(ctx, o.PeerAddress, within, time.Now()))
	wg.Wait()
	return opinions
}

// refused tells whether the address answered that nobody listens there, which no
// load brings about.
func refused(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
}

// ReachabilityOf returns the opinion of an entry whose ping had the outcome.
func ReachabilityOf(err error) Reachability {
	if err != nil {
		return Unreachable
	}
	return Reachable
}
