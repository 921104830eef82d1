package bbrapi

import (
	"context"
	"encoding/json"
	"net/netip"
	"time"

	"github.com/google/uuid"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrcode"
	"github.com/bluebellridge/bluebellridge/internal/base/bbrmetric"
	"github.com/bluebellridge/bluebellridge/internal/daemon/bbrentry"
	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrmember"
	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrview"
	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrwithdrawal"
	"github.com/bluebellridge/bluebellridge/internal/operator/bbrlanguage"
	"github.com/bluebellridge/bluebellridge/internal/peer/bbrlink"
	"github.com/bluebellridge/bluebellridge/internal/peer/bbrpeerproto"
	"github.com/bluebellridge/bluebellridge/internal/platform/bbrstore"
)

// Executor executes operator commands at one entry.
type Executor struct {
	State      *bbrentry.State
	Store      *bbrstore.Store
	Client     *bbrlink.Client
	Withdrawer *bbrwithdrawal.Withdrawer
	Metrics    *bbrmetric.Set
}

// Execute executes a command line. Repeating an operation has no further effect.
func (x *Executor) Execute(ctx context.Context, request Request) Result {
	return x.execute(ctx, request, true)
}

// ExecuteLocal executes a command that another entry forwarded, and does not
// forward it again. It returns the result as JSON.
func (x *Executor) ExecuteLocal(ctx context.Context, line, operation string, dryRun bool) []byte {
	result := x.execute(ctx, Request{Line: line, Operation: operation, DryRun: dryRun}, false)
	data, err := json.Marshal(result)
	if err != nil {
		return nil
	}
	return data
}

func (x *Executor) execute(ctx context.Context, request Request, mayForward bool) Result {
	if request.Operation == "" {
		request.Operation = uuid.NewString()
	}
	result := x.parseAndRun(ctx, request, mayForward)
	result.Operation = request.Operation
	if result.Code != bbrcode.Done && result.Code != bbrcode.DryRun {
		x.Metrics.Refusal(result.Code)
	}
	return result
}

func (x *Executor) parseAndRun(ctx context.Context, request Request, mayForward bool) Result {
	command, err := bbrlanguage.Parse(request.Line)
	if err != nil {
		return ErrorResult(err)
	}
	return x.dispatch(ctx, command, request, mayForward)
}

func (x *Executor) dispatch(ctx context.Context, c *bbrlanguage.Command, request Request, mayForward bool) Result {
	switch {
	case c.Help:
		return Done(bbrlanguage.Help)
	case c.Show != nil:
		return x.show(ctx, c.Show)
	case c.Why != nil:
		return x.why(ctx, c.Why)
	case c.Explain != nil:
		return x.explain(c.Explain, time.Now())
	case c.Set != nil:
		return x.set(ctx, c.Set, request)
	case c.Assign != nil:
		return x.assign(ctx, c.Assign, request)
	case c.Start != nil:
		return x.startWave(ctx, c.Start, request)
	case c.Halt != nil:
		return x.changeWave(ctx, c.Halt.Name, request, haltWave)
	case c.Resume != nil && c.Resume.Wave != "":
		return x.changeWave(ctx, c.Resume.Wave, request, resumeWave)
	default:
		return x.runInZone(ctx, c, request, mayForward)
	}
}

// instanceArgument returns the instance that a command names, or "".
func instanceArgument(c *bbrlanguage.Command) string {
	switch {
	case c.Drain != nil:
		return c.Drain.Instance
	case c.Reboot != nil:
		return c.Reboot.Instance
	case c.Move != nil:
		return c.Move.Instance
	case c.Resume != nil:
		return c.Resume.Instance
	default:
		return ""
	}
}

// runInZone executes a command that changes a zone's view, in the zone that has the
// instance or entry. Another zone's command is forwarded if mayForward is set.
func (x *Executor) runInZone(ctx context.Context, c *bbrlanguage.Command, request Request, mayForward bool) Result {
	contains := func(v *bbrview.View) bool { _, ok := v.Instances[instanceArgument(c)]; return ok }
	place := instanceArgument(c)
	if c.Declare != nil {
		place = c.Declare.Entry
		contains = func(v *bbrview.View) bool { return hasEntry(v, place) }
	}
	if contains(&x.State.Snapshot().View) {
		return x.runLocal(ctx, c, request)
	}
	views, _ := x.latestViews(ctx)
	for _, view := range views {
		if !contains(&view) {
			continue
		}
		if view.Zone == x.State.Identity.Zone {
			return x.runLocal(ctx, c, request)
		}
		if mayForward {
			return x.forward(ctx, view.Zone, &view, request)
		}
	}
	code := bbrcode.UnknownInstance
	if c.Declare != nil {
		code = bbrcode.UnknownName
	}
	return ErrorResult(bbrcode.Errorf(code, place, "no zone lists it"))
}

func hasEntry(v *bbrview.View, entry string) bool {
	for _, e := range v.Entries {
		if e.Name == entry {
			return true
		}
	}
	return false
}

// forward executes a command at an entry of another zone. The operation ID makes it
// safe to try one entry after another.
func (x *Executor) forward(ctx context.Context, zone string, view *bbrview.View, request Request) Result {
	for peer := range view.Entries {
		if result, ok := x.forwardTo(ctx, peer, request); ok {
			return result
		}
	}
	return ErrorResult(bbrcode.Errorf(bbrcode.ZoneUnreachable, zone, "none of its %d entries answered; the operation may still take effect", len(view.Entries)))
}

// forwardTimeout bounds the execution of a command at one other entry.
const forwardTimeout = 10 * time.Second

func (x *Executor) forwardTo(ctx context.Context, peer netip.AddrPort, request Request) (Result, bool) {
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	answer, err := x.Client.Peer(ctx, peer).Command(ctx, &bbrpeerproto.CommandRequest{
		Line: request.Line, Operation: request.Operation, DryRun: request.DryRun,
	})
	var result Result
	if err != nil || json.Unmarshal(answer.GetResult(), &result) != nil {
		return result, false
	}
	return result, true
}

// runLocal executes a command on the view of this entry's zone.
func (x *Executor) runLocal(ctx context.Context, c *bbrlanguage.Command, request Request) Result {
	if c.Resume != nil || c.Declare != nil {
		return x.changeView(ctx, c, request)
	}
	withdrawal := newWithdrawal(c, request.Operation)
	if withdrawal.Plan == bbrview.Move {
		if err := x.checkMove(withdrawal); err != nil {
			return ErrorResult(err)
		}
	}
	if request.DryRun {
		return x.checkWithdrawal(ctx, withdrawal)
	}
	if err := x.Withdrawer.Withdraw(ctx, withdrawal); err != nil {
		return ErrorResult(err)
	}
	return Done(withdrawal.Instance + " receives no new work and is draining")
}

func newWithdrawal(c *bbrlanguage.Command, operation string) bbrview.Withdrawal {
	w := bbrview.Withdrawal{Instance: instanceArgument(c), Operation: operation, Plan: bbrview.Hold}
	reason := ""
	switch {
	case c.Drain != nil:
		reason = c.Drain.Reason
	case c.Reboot != nil:
		w.Plan = bbrview.Reboot
		reason = c.Reboot.Reason
	case c.Move != nil:
		w.Plan = bbrview.Move
		w.Target = c.Move.Pool
		reason = c.Move.Reason
	}
	w.Reason = "operator"
	if reason != "" {
		w.Reason = "operator: " + reason
	}
	return w
}

func (x *Executor) checkMove(w bbrview.Withdrawal) error {
	if _, ok := x.State.Revision().Config.Pools[w.Target]; !ok {
		return bbrcode.Errorf(bbrcode.UnknownName, w.Target, "no pool has this name")
	}
	if x.State.Snapshot().View.Instances[w.Instance].Pool == w.Target {
		return bbrcode.Errorf(bbrcode.WrongState, w.Instance, "it is already in pool %s", w.Target)
	}
	return nil
}

// checkWithdrawal reports whether a withdrawal would be accepted, without changing
// anything.
func (x *Executor) checkWithdrawal(ctx context.Context, w bbrview.Withdrawal) Result {
	if err := x.Withdrawer.Check(ctx, w); err != nil {
		return ErrorResult(err)
	}
	return dryRunResult()
}

// changeView executes a command that needs no permit: resume or declare gone.
func (x *Executor) changeView(ctx context.Context, c *bbrlanguage.Command, request Request) Result {
	apply := func(v *bbrview.View) error {
		if c.Declare != nil {
			v.Operations.Record(request.Operation)
			return v.ForceRemove(c.Declare.Entry)
		}
		return v.Resume(c.Resume.Instance, request.Operation, x.State.Revision().Config.ActivePerZone, time.Now())
	}
	if request.DryRun {
		view := x.State.Snapshot().View.Clone()
		if err := apply(&view); err != nil {
			return ErrorResult(err)
		}
		return dryRunResult()
	}
	view, version, err := bbrmember.ViewDocument(x.Store, x.State.Identity.Zone).Update(ctx, request.Operation, apply)
	if err != nil {
		return ErrorResult(err)
	}
	x.State.OfferView(view, version, time.Now())
	return Done("")
}
