package bbrinquiry

import (
	"context"
	"net"

	"storj.io/drpc"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

const stateMethod = "/bbrinquiry.Owner/State"

// StateFunc returns the state of a job of a service that this entry owns.
type StateFunc func(service, job string) (state bbrwork.State, known bool)

// Server answers the questions of other entries.
type Server struct {
	StateOf StateFunc
}

// Run serves the listener until ctx ends.
func (s *Server) Run(ctx context.Context, listener net.Listener) error {
	router := drpcmux.New()
	if err := router.Register(s, description{}); err != nil {
		return err
	}
	return drpcserver.New(router).Serve(ctx, listener)
}

// State answers a question for the state of a job.
func (s *Server) State(_ context.Context, in *StateRequest) (*StateResponse, error) {
	state, known := s.StateOf(in.Service, in.Job)
	return &StateResponse{Known: known, State: state}, nil
}

// description tells drpc of the server's methods.
type description struct{}

// NumMethods implements drpc.Description.
func (description) NumMethods() int { return 1 }

// Method implements drpc.Description.
func (description) Method(n int) (string, drpc.Encoding, drpc.Receiver, any, bool) {
	if n != 0 {
		return "", nil, nil, nil, false
	}
	receive := func(server any, ctx context.Context, in, _ any) (drpc.Message, error) {
		return server.(*Server).State(ctx, in.(*StateRequest))
	}
	return stateMethod, jsonEncoding{}, receive, (*Server).State, true
}
