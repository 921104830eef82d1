package bbrabuse

import (
	"net/http"
	"testing"
)

// targets returns where crowds send requests of the method: a route, paths without a
// route, and the other listeners.
func (s *system) targets(method string) []target {
	return []target{
		{name: "a route", address: s.callers, method: method},
		{name: "a path without a route", address: s.callers, method: method, path: "/elsewhere/0000000000000001"},
		{name: "the readiness path", address: s.readiness, method: method, path: "/ready"},
		{name: "the metrics", address: s.metrics, method: method, path: "/metrics"},
	}
}

// testMisbehaviour lets crowds misbehave in the way against all targets, first without a
// configuration and then with one, and requires that an ordinary job is run while the
// connections of the crowd are open and after they are closed.
func testMisbehaviour(t *testing.T, kind, method string, act misbehaviour) {
	s := startFleet(t)
	for _, to := range s.targets(method)[:3] {
		s.crowd(t, kind+", without a configuration,", to, act, nil)
	}
	s.configure(t)
	for _, to := range s.targets(method) {
		s.crowd(t, kind, to, act, func() {
			s.runOrdinaryJob(t)
			s.requireReady(t)
		})
	}
	s.runOrdinaryJob(t)
}

// TestStalledBodies guards against bodies that are held in memory, or connections that
// are kept, for clients that stop one byte short of the end.
func TestStalledBodies(t *testing.T) {
	testMisbehaviour(t, "stalled bodies", http.MethodPost, stalledBody(legalBody))
}

// TestStalledBodiesInPieces is TestStalledBodies for bodies in small pieces.
func TestStalledBodiesInPieces(t *testing.T) {
	testMisbehaviour(t, "stalled bodies in pieces", http.MethodPost, stalledBody(4096))
}

// TestStalledChunks is TestStalledBodies for chunked bodies.
func TestStalledChunks(t *testing.T) {
	testMisbehaviour(t, "stalled chunked bodies", http.MethodPost, stalledChunks)
}

// TestStalledBodiesOfOtherMethods guards against bodies that are read although the
// method has no use for one.
func TestStalledBodiesOfOtherMethods(t *testing.T) {
	testMisbehaviour(t, "stalled bodies", http.MethodPut, stalledBody(legalBody))
}

// TestOversizedBodies guards against bodies over the limit that are read or held.
func TestOversizedBodies(t *testing.T) {
	testMisbehaviour(t, "oversized bodies", http.MethodPost, oversized)
}

// TestOversizedChunks is TestOversizedBodies for bodies of undeclared length.
func TestOversizedChunks(t *testing.T) {
	testMisbehaviour(t, "oversized chunked bodies", http.MethodPost, oversizedChunks)
}

// TestManyShortFields guards against submissions of legal size that take far more memory
// once decoded.
func TestManyShortFields(t *testing.T) {
	kinds := []struct{ name, body string }{
		{"steps", manySteps()}, {"fields", manyFields()}, {"dependencies", manyDependencies()}, {"nested lists", nested()},
	}
	for _, kind := range kinds {
		t.Run(kind.name, func(t *testing.T) {
			s := startFleet(t)
			s.configure(t)
			s.crowd(t, "bodies of many "+kind.name, s.targets(http.MethodPost)[0], completeBody(kind.body), func() { s.runOrdinaryJob(t) })
			s.runOrdinaryJob(t)
		})
	}
}

// TestManyHeaderFields guards against heads of legal size that take far more memory once
// parsed.
func TestManyHeaderFields(t *testing.T) {
	testMisbehaviour(t, "many header fields", http.MethodGet, manyHeaderFields)
}

// TestPipelinedRequests guards against connections that are kept for clients that do not
// read the responses to their requests.
func TestPipelinedRequests(t *testing.T) {
	testMisbehaviour(t, "pipelined requests", http.MethodGet, pipelined)
}

// TestPipelinedBodies is TestPipelinedRequests for requests with bodies.
func TestPipelinedBodies(t *testing.T) {
	testMisbehaviour(t, "pipelined bodies", http.MethodPost, pipelinedBodies)
}

// TestSlowSenders guards against connections that are kept for clients that send slowly.
func TestSlowSenders(t *testing.T) {
	testMisbehaviour(t, "slow heads", http.MethodPost, slowHead)
}

// TestSlowBodies is TestSlowSenders for bodies.
func TestSlowBodies(t *testing.T) {
	testMisbehaviour(t, "slow bodies", http.MethodPost, slowBody)
}

// TestSlowReaders guards against connections and responses that are kept for clients that
// read slowly.
func TestSlowReaders(t *testing.T) {
	testMisbehaviour(t, "slow readers", http.MethodGet, slowReader)
}

// TestHalfwayStops guards against state that is kept for clients that stop anywhere in a
// request.
func TestHalfwayStops(t *testing.T) {
	testMisbehaviour(t, "half-way stops", http.MethodPost, halfway)
}

// TestPeersListener guards against connections and messages that are kept on the listener
// for other entries.
func TestPeersListener(t *testing.T) {
	s := startFleet(t)
	s.configure(t)
	to := target{name: "the peers' listener", address: s.peers, method: http.MethodPost, path: "/"}
	s.crowd(t, "idle connections", to, idle, func() { s.runOrdinaryJob(t) })
	s.crowd(t, "stalled messages", to, stalledMessage, func() { s.runOrdinaryJob(t) })
	s.crowd(t, "stalled bodies", to, stalledBody(legalBody), func() { s.runOrdinaryJob(t) })
	s.runOrdinaryJob(t)
}

// TestOwnProtocol does the same to an entry of the project's own protocol, which reads a
// request before it looks for its queue.
func TestOwnProtocol(t *testing.T) {
	kinds := []struct {
		name string
		act  misbehaviour
	}{
		{"stalled bodies", stalledBody(legalBody)},
		{"stalled chunked bodies", stalledChunks},
		{"many header fields", manyHeaderFields},
		{"pipelined bodies", pipelinedBodies},
		{"slow bodies", slowBody},
	}
	s := startOwn(t)
	answered := func() bool { return status(http.MethodPost, s.callers, "/press/1", "{}") != 0 }
	for _, kind := range kinds {
		for _, to := range []target{
			{name: "the gateway", address: s.callers, method: http.MethodPost, path: "/press/1"},
			{name: "the readiness path", address: s.callers, method: http.MethodPost, path: "/_ready"},
			{name: "the operators' listener", address: s.metrics, method: http.MethodPost, path: "/v1/command"},
		} {
			s.crowd(t, kind.name, to, kind.act, func() { eventually(t, "an ordinary request is answered", answered) })
		}
	}
}
