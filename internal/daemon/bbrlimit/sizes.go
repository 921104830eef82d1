package bbrlimit

import "github.com/bluebellridge/bluebellridge/internal/config/bbrsettings"

const (
	// reservedDescriptors are kept for files.
	reservedDescriptors = 200
	// maxDescriptors is the largest number of descriptors that is taken into account.
	maxDescriptors = 1 << 20
	// memoryShare is the share of limits.memoryMB, as a divisor, that bodies in flight may
	// take, and that connections of callers may take. It is small because the runtime's
	// soft memory limit is below limits.memoryMB, and garbage can exceed what is in use
	// several times over.
	memoryShare = 8
	// fleetPeerMemoryShare is the divisor for messages of other entries with the fleet's
	// protocol, in which entries forward no requests.
	fleetPeerMemoryShare = 32
	// programBytes is what the program takes without clients.
	programBytes = 32 << 20
	// connectionBytes is the memory of a connection with its buffers, its goroutine and a
	// head of moderate size.
	connectionBytes = 20 << 10
	minConnections  = 16
	// minBodyBytes is enough for the largest legal job with what it is decoded into.
	minBodyBytes = 8 << 20
	// messageOverhead is what a message of another entry takes beside a job's body.
	messageOverhead = 3 << 19
)

// Kind is the kind of a listener.
type Kind string

// Callers and Peers are bounded by memory and descriptors, the others by otherConnections.
const (
	Callers   Kind = "callers"
	Readiness Kind = "readiness"
	Metrics   Kind = "metrics"
	Operators Kind = "operators"
	Peers     Kind = "peers"
)

// otherConnections bounds the connections of listeners for a few load balancers, scrapers
// and operators.
var otherConnections = map[Kind]int{Readiness: 32, Metrics: 32, Operators: 32}

// sizes are the limits that follow from the memory and the descriptors of a process.
type sizes struct {
	// bodyBytes bounds the bytes of bodies in flight, and peerBytes those of incomplete
	// messages of other entries.
	bodyBytes, peerBytes int64
	connections          map[Kind]int
}

// MaxMessageBytes returns the size of the largest message of another entry. That is a job
// of the largest legal size, whose encoding can be longer than its body was.
func MaxMessageBytes(limits *bbrsettings.Limits) int64 {
	return messageOverhead + limits.BodyBytes + limits.BodyBytes/2
}

// newSizes derives the limits. The process may have openFiles descriptors if the
// settings do not say how many.
func newSizes(settings *bbrsettings.Settings, openFiles int) sizes {
	limits := &settings.Limits
	memory := int64(limits.MemoryMB) << 20
	s := sizes{bodyBytes: limits.BytesInFlight, connections: make(map[Kind]int)}
	if s.bodyBytes == 0 {
		s.bodyBytes = limits.InProgress * limits.BodyBytes
		if memory > 0 {
			s.bodyBytes = memory / memoryShare
		}
	}
	// One body of the largest size is always admitted.
	s.bodyBytes = max(s.bodyBytes, minBodyBytes, 2*limits.BodyBytes)
	s.peerBytes = s.bodyBytes
	if memory > 0 && settings.Platform.Protocol == bbrsettings.ProtocolFleet {
		s.peerBytes = memory / fleetPeerMemoryShare
	}
	// One message of the largest size is always admitted: newBudget leaves three quarters
	// to what is large.
	largest := MaxMessageBytes(limits)
	s.peerBytes = max(s.peerBytes, largest+largest/3)
	descriptors := limits.Descriptors
	if descriptors == 0 {
		descriptors = openFiles
	}
	free := min(descriptors, maxDescriptors) - reservedDescriptors
	// The rest is for connections to the platform and to upstreams, and for the other
	// listeners.
	callers, peers := free/2, free/4
	if memory > 0 {
		mostByMemory := int((memory - programBytes) / memoryShare / connectionBytes)
		callers, peers = min(callers, mostByMemory), min(peers, mostByMemory)
	}
	if limits.Connections > 0 {
		callers = limits.Connections
	}
	s.connections[Callers], s.connections[Peers] = max(callers, minConnections), max(peers, minConnections)
	for kind, count := range otherConnections {
		s.connections[kind] = max(min(count, free/8), minConnections)
	}
	return s
}
