package bbrscheduler

import (
	"time"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
	"github.com/bluebellridge/bluebellridge/internal/store/bbrkv"
)

// An order without an answer may be carried out seconds later, by the next incarnation of its
// upstream, on which no fencing token was seen. So the orders to an incarnation that follows
// another one have a higher token, with which it refuses all earlier ones: the revision of the
// owner's last transaction, or of its next one if that token is in use for the ID already. It is higher
// than all tokens that this owner has used for the ID, and lower than the claim of any later owner, since
// the transaction depends on the claim. An incarnation is sent a renewal with it at once.

// raisedToken is a fencing token for an incarnation that is higher than the claim's, since at.
type raisedToken struct {
	token       int64
	incarnation bbrwork.Incarnation
	at          time.Time
}

// tokenOf returns the fencing token of orders to the upstream with the ID. It never falls.
func (sched *Scheduler) tokenOf(id string) int64 { return max(sched.Token, sched.tokens[id].token) }

// IsReplaced reports whether another owner has the shard, given that an upstream refused an order
// with the token. Otherwise it has received a later order of this owner.
func (sched *Scheduler) IsReplaced(id string, token int64) bool { return token >= sched.tokenOf(id) }

// recordTransaction records the revision of a transaction of this owner, 0 for none, and raises the
// tokens that wait for it.
func (sched *Scheduler) recordTransaction(revision bbrkv.Revision, now time.Time) {
	sched.ownRevision = max(sched.ownRevision, int64(revision))
	for _, up := range sched.sortedUpstreams() {
		if up.follows {
			sched.raiseToken(up.Incarnation, now)
		}
	}
}

// raiseToken raises the token for an incarnation that follows another one, if there was a later
// transaction than that of the present token.
func (sched *Scheduler) raiseToken(incarnation bbrwork.Incarnation, now time.Time) {
	if sched.tokens[incarnation.ID].incarnation == incarnation || sched.ownRevision <= sched.tokenOf(incarnation.ID) {
		return
	}
	sched.tokens[incarnation.ID] = raisedToken{sched.ownRevision, incarnation, now}
	sched.note(now, "Fencing token of the upstream raised", "upstream", incarnation.ID, "born", incarnation.StartMillis, "to", sched.ownRevision)
}

// tokenRaisedAt returns when the token was raised for the incarnation; zero if it was not.
func (sched *Scheduler) tokenRaisedAt(incarnation bbrwork.Incarnation) time.Time {
	if raised := sched.tokens[incarnation.ID]; raised.incarnation == incarnation {
		return raised.at
	}
	return time.Time{}
}

// Unfenced returns the IDs of the upstreams that need a renewal with their raised token, with
// which they refuse all orders that were meant for earlier incarnations.
func (sched *Scheduler) Unfenced() []string {
	var ids []string
	for _, up := range sched.sortedUpstreams() {
		if sched.awaitsFence(up) {
			ids = append(ids, up.ID)
		}
	}
	return ids
}

// awaitsFence reports whether the token was raised for the incarnation, which has not seen it.
func (sched *Scheduler) awaitsFence(up *upstream) bool {
	return !up.fenced && !sched.tokenRaisedAt(up.Incarnation).IsZero()
}

// refusesEarlierOrders reports whether the incarnation refuses the orders that were meant for an
// earlier one, given that it answered an order that was sent at the time.
func (sched *Scheduler) refusesEarlierOrders(up *upstream, sent time.Time) bool {
	raisedAt := sched.tokenRaisedAt(up.Incarnation)
	return !up.follows || !raisedAt.IsZero() && sent.After(raisedAt)
}

// recordAnswer bounds the lease of an incarnation that answered an order that was sent at the
// time. Orders for earlier ones may have extended it until the incarnation refuses them.
func (sched *Scheduler) recordAnswer(up *upstream, sent, now time.Time) {
	if !up.fenced {
		sched.boundEarlierLease(up, now)
		up.fenced = sched.refusesEarlierOrders(up, sent)
	}
}
