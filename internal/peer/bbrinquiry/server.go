package bbrinquiry

import (
	"cmp"
	"context"
	"net"
	"net/netip"
	"time"

	"k8s.io/klog/v2"
	"storj.io/drpc"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrlog"
	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrdetector"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrowner"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrscheduler"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
	"github.com/bluebellridge/bluebellridge/internal/store/bbrkv"
)

const (
	stateMethod        = "/bbrinquiry.Owner/State"
	explainMethod      = "/bbrinquiry.Owner/Explain"
	hintMethod         = "/bbrinquiry.Owner/Hint"
	pingMethod         = "/bbrinquiry.Entry/Ping"
	reachabilityMethod = "/bbrinquiry.Entry/Opinion"
	servedMethod       = "/bbrinquiry.Entry/Served"
	revokeMethod       = "/bbrinquiry.Entry/Revoke"
)

// defaultMessageBytes is bbrlimit.MaxMessageBytes of the default settings.
const defaultMessageBytes = 3 << 20

// StateFunc returns the state of a job of a shard that this entry owns; known is
// false if the entry does not own the shard or does not know the job.
type StateFunc func(shard bbrwork.Shard, job string) (state bbrwork.State, known bool)

// ExplainFunc returns the explanation of the state of a job of a shard that this
// entry owns; known is false if there is none.
type ExplainFunc func(shard bbrwork.Shard, job string) (explanation bbrscheduler.Explanation, known bool)

// HintFunc passes a hint to an owner at this entry and returns the owner's answer.
type HintFunc func(hint bbrowner.Hint) HintResponse

// PingFunc returns an error if the entry at the address does not answer within the
// timeout.
type PingFunc func(ctx context.Context, address netip.AddrPort, timeout time.Duration, now time.Time) error

// Server answers queries of other entries, each with one of its functions.
type Server struct {
	JobState       StateFunc
	JobExplanation ExplainFunc
	JobPlacement   PlaceFunc
	AcceptHint     HintFunc
	PingEntry      PingFunc
	// Rooms is nil if the entry takes no part in the exchange of rooms.
	Rooms *RoomExchange
	// ServedAt returns when the store last served this entry, and RevokeLease revokes a
	// lease in the store.
	ServedAt    func() time.Time
	RevokeLease func(ctx context.Context, lease bbrkv.Lease) error
	// MaxMessageBytes bounds a query, the largest of which is the hint of a job; 0 means
	// the bound of the default settings.
	MaxMessageBytes int64
}

// Run serves the listener until ctx ends.
func (s *Server) Run(ctx context.Context, listener net.Listener) error {
	router := drpcmux.New()
	if err := router.Register(s, rpcDescription{}); err != nil {
		return err
	}
	reader := drpcwire.ReaderOptions{MaximumBufferSize: int(cmp.Or(s.MaxMessageBytes, defaultMessageBytes))}
	options := drpcserver.Options{Manager: drpcmanager.Options{Reader: reader}}
	return drpcserver.NewWithOptions(router, options).Serve(ctx, listener)
}

// State answers a query for the state of a job.
func (s *Server) State(_ context.Context, in *JobRequest) (*StateResponse, error) {
	state, known := s.JobState(in.Shard(), in.Job)
	return &StateResponse{Known: known, State: state}, nil
}

// Explain answers a query for the explanation of a job's state.
func (s *Server) Explain(_ context.Context, in *JobRequest) (*ExplainResponse, error) {
	explanation, known := s.JobExplanation(in.Shard(), in.Job)
	return &ExplainResponse{Known: known, Explanation: explanation}, nil
}

// Hint accepts a notification of a job that another entry has just stored.
func (s *Server) Hint(_ context.Context, in *HintRequest) (*HintResponse, error) {
	out := s.AcceptHint(in.Hint)
	if in.Job != nil {
		now := time.Now()
		// A hint has been under way for at most queryTimeout.
		s.Rooms.learn(in.Job.Service, in.Rooms, now.Add(-queryTimeout))
		out.Rooms = s.Rooms.known(in.Job.Service, now)
	}
	return &out, nil
}

// Ping answers a ping.
func (s *Server) Ping(context.Context, *PingMessage) (*PingMessage, error) {
	return &PingMessage{}, nil
}

// Reachability answers a query whether this entry reaches another. On the wire the
// method is named Opinion.
func (s *Server) Reachability(ctx context.Context, in *ReachabilityRequest) (*ReachabilityResponse, error) {
	return &ReachabilityResponse{Reachability: bbrdetector.ReachabilityOf(s.PingEntry(ctx, in.About, in.Timeout, time.Now()))}, nil
}

// Served answers a query how long ago the store last served this entry.
func (s *Server) Served(context.Context, *PingMessage) (*ServedResponse, error) {
	return &ServedResponse{Age: time.Since(s.ServedAt())}, nil
}

// Revoke revokes the lease of an entry that the store does not serve.
func (s *Server) Revoke(ctx context.Context, in *RevokeRequest) (*RevokeResponse, error) {
	err := s.RevokeLease(ctx, in.Lease)
	klog.InfoS("Revoked a lease at the request of its entry", "lease", in.Lease, "error", bbrlog.ErrorText(err))
	return &RevokeResponse{Revoked: err == nil}, nil
}

// rpcDescription describes the server's methods to drpc.
type rpcDescription struct{}

// NumMethods implements drpc.Description.
func (rpcDescription) NumMethods() int { return 8 }

// Method implements drpc.Description.
func (rpcDescription) Method(n int) (string, drpc.Encoding, drpc.Receiver, any, bool) {
	switch n {
	case 0:
		receive := func(server any, ctx context.Context, in, _ any) (drpc.Message, error) {
			return server.(*Server).State(ctx, in.(*JobRequest))
		}
		return stateMethod, jsonEncoding{}, receive, (*Server).State, true
	case 1:
		receive := func(server any, ctx context.Context, in, _ any) (drpc.Message, error) {
			return server.(*Server).Explain(ctx, in.(*JobRequest))
		}
		return explainMethod, jsonEncoding{}, receive, (*Server).Explain, true
	case 2:
		receive := func(server any, ctx context.Context, in, _ any) (drpc.Message, error) {
			return server.(*Server).Hint(ctx, in.(*HintRequest))
		}
		return hintMethod, jsonEncoding{}, receive, (*Server).Hint, true
	case 3:
		receive := func(server any, ctx context.Context, in, _ any) (drpc.Message, error) {
			return server.(*Server).Ping(ctx, in.(*PingMessage))
		}
		return pingMethod, jsonEncoding{}, receive, (*Server).Ping, true
	case 4:
		receive := func(server any, ctx context.Context, in, _ any) (drpc.Message, error) {
			return server.(*Server).Reachability(ctx, in.(*ReachabilityRequest))
		}
		return reachabilityMethod, jsonEncoding{}, receive, (*Server).Reachability, true
	case 5:
		receive := func(server any, ctx context.Context, in, _ any) (drpc.Message, error) {
			return server.(*Server).Served(ctx, in.(*PingMessage))
		}
		return servedMethod, jsonEncoding{}, receive, (*Server).Served, true
	case 6:
		receive := func(server any, ctx context.Context, in, _ any) (drpc.Message, error) {
			return server.(*Server).Revoke(ctx, in.(*RevokeRequest))
		}
		return revokeMethod, jsonEncoding{}, receive, (*Server).Revoke, true
	case 7:
		receive := func(server any, ctx context.Context, in, _ any) (drpc.Message, error) {
			return server.(*Server).Place(ctx, in.(*PlaceRequest))
		}
		return placeMethod, jsonEncoding{}, receive, (*Server).Place, true
	default:
		return "", nil, nil, nil, false
	}
}
