package bbrsettings

import (
	"net/netip"
	"time"
)

// Settings are the settings of one entry process.
type Settings struct {
	Entry     string    `yaml:"entry"`
	Zone      string    `yaml:"zone"`
	Listen    Listen    `yaml:"listen"`
	Platform  Platform  `yaml:"platform"`
	Operators Operators `yaml:"operators"`
	// Peers are entries to query if the platform is unavailable at startup.
	Peers    []netip.AddrPort `yaml:"peers"`
	Limits   Limits           `yaml:"limits"`
	Timing   Timing           `yaml:"timing"`
	Shutdown Shutdown         `yaml:"shutdown"`
	// Jobs is used only with the fleet protocol.
	Jobs Jobs `yaml:"jobs"`
}

// Protocol is the protocol that the platform and its upstreams use.
type Protocol string

// Protocols.
const (
	// ProtocolOwn is the project's own protocol: callers' requests are forwarded to
	// upstreams.
	ProtocolOwn Protocol = "own"
	// ProtocolFleet is the protocol of the platform's fleet: callers submit jobs.
	ProtocolFleet Protocol = "fleet"
)

// Jobs has the times that apply to jobs, upstreams and fleet leadership.
type Jobs struct {
	// RunLease is the longest lease for a run that an upstream grants.
	RunLease time.Duration `yaml:"hold"`
	// RecoveryTime is how long a unit of long-running work may be down before
	// it counts as missing.
	RecoveryTime time.Duration `yaml:"notice"`
	// RemoteDataFactor is the factor by which work takes longer if it runs far
	// from its data.
	RemoteDataFactor float64 `yaml:"farFactor"`
	// MaxConfigApplyDelay is the maximum time until a change of the configuration
	// must be applied.
	MaxConfigApplyDelay time.Duration `yaml:"configApply"`
	// EndedJobRetention is how long the state of an ended job can be queried.
	EndedJobRetention time.Duration `yaml:"keepEnded"`
	// LeadershipLease is the minimum time between the last order of a fleet leader
	// and the first order of its successor.
	LeadershipLease time.Duration `yaml:"dutyLease"`
	// MaintenanceDuration is how long an instance is unavailable during its
	// maintenance.
	MaintenanceDuration time.Duration `yaml:"upkeep"`
	// StopTimeout is the maximum time that stopping a run takes.
	StopTimeout time.Duration `yaml:"stop"`
	// RequireKeys makes callers of queues that are not public authenticate by a key of
	// their organisation, even if the operators' configuration has no organisations.
	RequireKeys bool `yaml:"requireKeys"`
	// BalanceByCapacity assigns jobs to cells by room and shards to entries by processor
	// time and link, and makes slow owners hand over.
	BalanceByCapacity bool `yaml:"balanceByCapacity"`
	// Reservations lets wide work reserve capacity, and urgent work preempt work of
	// queues with a higher priority number.
	Reservations bool `yaml:"reservations"`
	// SeparateInterfering keeps work units apart whose images slow each other down.
	SeparateInterfering bool `yaml:"separateInterfering"`
	// FairShares makes organisations share the capacity of a shard by their weights
	// while it is short.
	FairShares bool `yaml:"fairShares"`
	// RefuseBeyondShare refuses jobs of an organisation whose backlog is too long for its
	// fair share. It needs FairShares.
	RefuseBeyondShare bool `yaml:"refuseBeyondShare"`
}

// Listen has the addresses that the process listens on. They are also the
// addresses that it publishes to others.
type Listen struct {
	Callers   netip.AddrPort `yaml:"callers"`
	Operators netip.AddrPort `yaml:"operators"`
	Peers     netip.AddrPort `yaml:"peers"`
	// Readiness serves the load balancer's readiness checks; it is used only with
	// the fleet protocol.
	Readiness netip.AddrPort `yaml:"readiness"`
	// Metrics serves the metrics; it is used only with the fleet protocol.
	Metrics netip.AddrPort `yaml:"metrics"`
	TLS     TLS            `yaml:"tls"`
}

// TLS has the names of the certificate and key files for the listeners of callers
// and operators; if they are empty, these use plain HTTP.
type TLS struct {
	Certificate string `yaml:"certificate"`
	Key         string `yaml:"key"`
}

// Platform has the addresses of the platform's services and how to call them.
type Platform struct {
	Address netip.AddrPort `yaml:"address"`
	// Timeout limits each call.
	Timeout  time.Duration `yaml:"timeout"`
	Protocol Protocol      `yaml:"protocol"`
	// MaxValueBytes is the size of the largest value that the platform's store takes.
	MaxValueBytes int `yaml:"valueBytes"`
	// Features are the platform's names of the rules that are in force for the deployment.
	// The platform's adapter knows which parts they ask for.
	Features []string `yaml:"features"`
	// Instances and Advice are the addresses of the services that only the fleet
	// protocol uses.
	Instances netip.AddrPort `yaml:"machines"`
	Advice    netip.AddrPort `yaml:"advice"`
}

// Operators has the settings of the operators' API.
type Operators struct {
	// Token authenticates operators.
	Token string `yaml:"token"`
}

// Limits are the resource limits of the process.
type Limits struct {
	HeaderBytes int   `yaml:"headerBytes"`
	BodyBytes   int64 `yaml:"bodyBytes"`
	// InProgress is the maximum number of requests in progress at once.
	InProgress int64 `yaml:"inProgress"`
	// Keys is the maximum number of stored idempotency keys, and KeptAnswerBytes
	// the maximum size of the responses stored with them.
	Keys            int   `yaml:"keys"`
	KeptAnswerBytes int64 `yaml:"keptAnswerBytes"`
	// MemoryMB is the memory that the process may use; 0 means no limit.
	MemoryMB int `yaml:"memoryMB"`
	// BandwidthMbps is the link of the process in megabits per second; 0 if it is unknown.
	// The smallest link of the entries bounds the backlog of a shard; with
	// jobs.balanceByCapacity, entries are ranked by it for claims.
	BandwidthMbps float64 `yaml:"bandwidthMbps"`
	// Descriptors is how many files and connections the process may have open; 0 means
	// unknown.
	Descriptors int `yaml:"descriptors"`
	// Connections bounds the connections of callers, and BytesInFlight the bytes of
	// requests that are held at once. If they are 0, they follow from the memory and the
	// descriptors.
	Connections   int   `yaml:"connections"`
	BytesInFlight int64 `yaml:"bytesInFlight"`
	// HeaderFields is the maximum number of header fields of a request.
	HeaderFields int `yaml:"headerFields"`
	// MinTransferRate is the rate, in bytes per second, below which the transfer of a
	// body or of a response is given up.
	MinTransferRate int64 `yaml:"minTransferRate"`
	// CPUShare is the share of CPUCores that the process may use. Entries with more
	// processor time take over services first.
	CPUShare float64 `yaml:"cpuShare"`
	CPUCores float64 `yaml:"cpuCores"`
}

// Timing has the timeouts of the process.
type Timing struct {
	// Dial limits the time to establish a connection.
	Dial time.Duration `yaml:"dial"`
	// Fence is how long a confirmation of the entry's registration is valid.
	Fence time.Duration `yaml:"fence"`
	// SuspectAfter is how long another entry may be silent before it is suspected.
	SuspectAfter time.Duration `yaml:"suspectAfter"`
	// ReadHeader and ReadBody limit the time to read a request, Write the time to
	// write its response, and Idle the lifetime of an idle connection of a caller.
	ReadHeader time.Duration `yaml:"readHeader"`
	ReadBody   time.Duration `yaml:"readBody"`
	Write      time.Duration `yaml:"write"`
	Idle       time.Duration `yaml:"idle"`
	// Stall is the longest pause within a request's body.
	Stall time.Duration `yaml:"stall"`
}

// Shutdown has the settings of a graceful shutdown.
type Shutdown struct {
	// BalancerLag is how long the load balancer may still send requests after the
	// process reports that it is not ready.
	BalancerLag time.Duration `yaml:"balancerLag"`
	// Grace is how long the process waits for requests in flight.
	Grace time.Duration `yaml:"grace"`
}

// Default returns the default settings.
func Default() Settings {
	return Settings{
		Platform: Platform{Timeout: 2 * time.Second, Protocol: ProtocolOwn, MaxValueBytes: 1 << 20},
		Limits: Limits{
			HeaderBytes:     32 << 10,
			BodyBytes:       1 << 20,
			InProgress:      2000,
			Keys:            20_000,
			KeptAnswerBytes: 8 << 20,
			HeaderFields:    100,
			MinTransferRate: 8 << 10,
			CPUShare:        1,
			CPUCores:        1,
		},
		Timing: Timing{
			Dial:         time.Second,
			Fence:        6 * time.Second,
			SuspectAfter: 3 * time.Second,
			ReadHeader:   10 * time.Second,
			ReadBody:     30 * time.Second,
			Write:        time.Minute,
			Idle:         time.Minute,
			Stall:        10 * time.Second,
		},
		Shutdown: Shutdown{BalancerLag: 2 * time.Second, Grace: time.Minute},
		Jobs: Jobs{
			RunLease:            6 * time.Second,
			RecoveryTime:        4500 * time.Millisecond,
			RemoteDataFactor:    3,
			MaxConfigApplyDelay: 2 * time.Second,
			EndedJobRetention:   2 * time.Minute,
			LeadershipLease:     3 * time.Second,
			MaintenanceDuration: 2 * time.Second,
			StopTimeout:         time.Second,
		},
	}
}
