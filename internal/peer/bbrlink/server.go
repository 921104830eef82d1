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

// ForwardHandler answers a forwarded request.
type ForwardHandler func(ctx context.Context, job *bbrjob.Job, held string, waiting bool, now time.Time) *bbranswer.Answer

// CommandHandler runs an operator's command on this zone and returns JSON.
type CommandHandler func(ctx context.Context, line, operation string, dryRun bool) []byte

// Server answers other entries. Requests and commands are refused until their
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

var errStarting = errors.New("the entry is starting")

// Run serves the listener until ctx ends.
func (s *Server) Run(ctx context.Context, listener net.Listener) error {
	router := drpcmux.New()
	if err := bbrpeerproto.DRPCRegisterPeer(router, s); err != nil {
		return err
	}
	server := drpcserver.NewWithOptions(router, drpcserver.Options{Manager: managerOptions()})
	return server.Serve(ctx, listener)
}

// Confirm tells a peer whether this entry takes it for registered.
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

func (s *Server) confirms(snapshot *bbrentry.Snapshot, peer netip.AddrPort, incarnation string) bool {
	listed, suspected := s.State.Registered()
	return listed && !suspected && snapshot.View.MayConfirm(s.State.Identity.Peer, peer, incarnation)
}

// freeSlots counts what this entry could take at once in each of its pools.
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

// Acknowledge tells which view and configuration this entry obeys.
func (s *Server) Acknowledge(context.Context, *bbrpeerproto.AcknowledgeRequest) (*bbrpeerproto.AcknowledgeResponse, error) {
	return EncodeAck(s.State.Acknowledge(), s.State.Revision().Number), nil
}

// Documents returns what is newer here than at the peer.
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

// Forward places a request that another entry passes on.
func (s *Server) Forward(ctx context.Context, in *bbrpeerproto.ForwardRequest) (*bbrpeerproto.ForwardResponse, error) {
	handler := s.forwardHandler.Load()
	if handler == nil {
		return EncodeAnswer(bbranswer.Refuse(bbrcode.NotReady, "", "")), nil
	}
	answer := (*handler)(ctx, DecodeJob(in), in.GetHolderIncarnation(), in.GetMayWait(), time.Now())
	return EncodeAnswer(answer), nil
}

// Command runs an operator's command that was asked for in another zone.
func (s *Server) Command(ctx context.Context, in *bbrpeerproto.CommandRequest) (*bbrpeerproto.CommandResponse, error) {
	handler := s.commandHandler.Load()
	if handler == nil {
		return nil, errStarting
	}
	result := (*handler)(ctx, in.GetLine(), in.GetOperation(), in.GetDryRun())
	return &bbrpeerproto.CommandResponse{Result: result}, nil
}
