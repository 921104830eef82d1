package bbrlink

import (
	"context"
	"encoding/json"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrcode"
	"github.com/bluebellridge/bluebellridge/internal/daemon/bbrentry"
	"github.com/bluebellridge/bluebellridge/internal/peer/bbrpeerproto"
	"github.com/bluebellridge/bluebellridge/internal/request/bbranswer"
	"github.com/bluebellridge/bluebellridge/internal/request/bbrjob"
)

// ForwardHandler answers a forwarded request. If holderIncarnation is not empty, the
// request was sent to that process as the holder of its idempotency key. If mayWait is
// set, the request may be queued.
type ForwardHandler func(ctx context.Context, job *bbrjob.Job, holderIncarnation string, mayWait bool, now time.Time) *bbranswer.Answer

// CommandHandler runs an operator's command in this zone and returns its result as
// JSON.
type CommandHandler func(ctx context.Context, line, operation string, dryRun bool) []byte

// Server answers calls of other entries. It refuses requests and commands until their
// handlers are set.
type Server struct {
	State *bbrentry.State

	forwardHandler atomic.Pointer[ForwardHandler]
	commandHandler atomic.Pointer[CommandHandler]
}

// SetForwardHandler sets the handler of forwarded requests.
func (s *Server) SetForwardHandler(handler ForwardHandler) { s.forwardHandler.Store(&handler) }

// SetCommandHandler sets the handler of commands.
func (s *Server) SetCommandHandler(handler CommandHandler) { s.commandHandler.Store(&handler) }

var errStarting = errors.New("the entry is still starting")

// Run serves the listener until ctx ends.
func (s *Server) Run(ctx context.Context, listener net.Listener) error {
	router := drpcmux.New()
	if err := bbrpeerproto.DRPCRegisterPeer(router, s); err != nil {
		return err
	}
	server := drpcserver.NewWithOptions(router, drpcserver.Options{Manager: managerOptions()})
	return server.Serve(ctx, listener)
}

// Confirm reports to a peer whether this entry's view lists it as registered and not
// suspected.
func (s *Server) Confirm(_ context.Context, in *bbrpeerproto.ConfirmRequest) (*bbrpeerproto.ConfirmResponse, error) {
	peer, err := netip.ParseAddrPort(in.GetPeer())
	if err != nil {
		return nil, err
	}
	snapshot := s.State.Snapshot()
	response := &bbrpeerproto.ConfirmResponse{
		Confirmed:   s.confirms(snapshot, peer, in.GetIncarnation()),
		ViewVersion: snapshot.Version,
		Revision:    s.State.Revision().Number,
		Zone:        s.State.Identity.Zone,
		Incarnation: s.State.Identity.Incarnation,
		Ready:       s.State.Ready(),
	}
	if in.GetWantFreeSlots() {
		response.FreeSlots = s.freeSlots()
	}
	return response, nil
}

// confirms reports whether this entry may confirm a peer's registration. It must be
// registered and not suspected itself.
func (s *Server) confirms(snapshot *bbrentry.Snapshot, peer netip.AddrPort, incarnation string) bool {
	listed, suspected := s.State.Registered()
	return listed && !suspected && snapshot.View.MayConfirm(s.State.Identity.Peer, peer, incarnation)
}

// freeSlots returns the free slots of each pool of which this entry has slots. It is
// empty while the entry may not send.
func (s *Server) freeSlots() map[string]int32 {
	free := make(map[string]int32)
	if !s.State.MaySend(time.Now()) {
		return free
	}
	for name, pool := range s.State.Table().Pools {
		if pool.Slots() > 0 {
			free[name] = int32(pool.FreeSlots())
		}
	}
	return free
}

// Acknowledge returns this entry's acknowledgement of its view, and the revision of
// its configuration.
func (s *Server) Acknowledge(context.Context, *bbrpeerproto.AcknowledgeRequest) (*bbrpeerproto.AcknowledgeResponse, error) {
	return EncodeAck(s.State.Acknowledge(), s.State.Revision().Number), nil
}

// Documents returns the view and the configuration where they are newer than the
// peer's. The view is returned only to a peer of the same zone.
func (s *Server) Documents(_ context.Context, in *bbrpeerproto.DocumentsRequest) (*bbrpeerproto.DocumentsResponse, error) {
	snapshot, revision := s.State.Snapshot(), s.State.Revision()
	out := &bbrpeerproto.DocumentsResponse{Zone: s.State.Identity.Zone}
	var err error
	if snapshot.Version > in.GetViewVersion() && in.GetZone() == s.State.Identity.Zone {
		out.ViewVersion = snapshot.Version
		out.View, err = json.Marshal(snapshot.View)
	}
	if err == nil && revision.Number > in.GetRevision() {
		out.Revision = revision.Number
		out.Config, err = json.Marshal(revision.Config)
	}
	return out, err
}

// Forward answers a request that another entry forwards.
func (s *Server) Forward(ctx context.Context, in *bbrpeerproto.ForwardRequest) (*bbrpeerproto.ForwardResponse, error) {
	handler := s.forwardHandler.Load()
	if handler == nil {
		return EncodeAnswer(bbranswer.Refuse(bbrcode.NotReady, "", "")), nil
	}
	answer := (*handler)(ctx, DecodeJob(in), in.GetHolderIncarnation(), in.GetMayWait(), time.Now())
	return EncodeAnswer(answer), nil
}

// Command runs an operator's command that another zone's entry received.
func (s *Server) Command(ctx context.Context, in *bbrpeerproto.CommandRequest) (*bbrpeerproto.CommandResponse, error) {
	handler := s.commandHandler.Load()
	if handler == nil {
		return nil, errStarting
	}
	result := (*handler)(ctx, in.GetLine(), in.GetOperation(), in.GetDryRun())
	return &bbrpeerproto.CommandResponse{Result: result}, nil
}
