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
	// Peers are entries to ask when the platform is away at the start.
	Peers    []netip.AddrPort `yaml:"peers"`
	Limits   Limits           `yaml:"limits"`
	Timing   Timing           `yaml:"timing"`
	Shutdown Shutdown         `yaml:"shutdown"`
	// Jobs is how the entry runs jobs where the platform's protocol is that of
	// fleets.
	Jobs Jobs `yaml:"jobs"`
}

// Protocol names what is spoken with the platform and its upstreams.
type Protocol string

// Protocols.
const (
	// ProtocolOwn is the project's own: callers' requests are passed on.
	ProtocolOwn Protocol = "own"
	// ProtocolFleet is that of the platform's fleet: callers submit jobs.
	ProtocolFleet Protocol = "fleet"
)

// Jobs is the lengths that jobs and their upstreams go by.
type Jobs struct {
	// RunLease is the longest lease that an upstream gives.
	RunLease time.Duration `yaml:"hold"`
	// RecoveryTime is how long lasting work may be away before it counts as missing.
	RecoveryTime time.Duration `yaml:"notice"`
	// RemoteDataFactor is how many times as long work takes far from its data.
	RemoteDataFactor float64 `yaml:"farFactor"`
	// MaxConfigApplyDelay is the time in which a change of the configuration must be in
	// force.
	MaxConfigApplyDelay time.Duration `yaml:"configApply"`
	// EndedJobRetention is how long the state of an ended job can be asked for.
	EndedJobRetention time.Duration `yaml:"keepEnded"`
	// LeadershipLease is the least time between the orders of two holders of the fleet
	// duty.
	LeadershipLease time.Duration `yaml:"dutyLease"`
	// MaintenanceDuration is how long an instance is away for its maintenance.
	MaintenanceDuration time.Duration `yaml:"upkeep"`
	// StopTimeout is how long stopping a run takes at most.
	StopTimeout time.Duration `yaml:"stop"`
}

// Listen is where the process listens. The addresses are also what others are
// told.
type Listen struct {
	Callers   netip.AddrPort `yaml:"callers"`
	Operators netip.AddrPort `yaml:"operators"`
	Peers     netip.AddrPort `yaml:"peers"`
	// Readiness is where the balancer asks; it is used with the fleet protocol.
	Readiness netip.AddrPort `yaml:"readiness"`
	// Metrics is where metrics are read; it is used with the fleet protocol.
	Metrics netip.AddrPort `yaml:"metrics"`
	TLS     TLS            `yaml:"tls"`
}

// TLS names the key files for callers and operators; empty means plain HTTP.
type TLS struct {
	Certificate string `yaml:"certificate"`
	Key         string `yaml:"key"`
}

// Platform is where the platform's service is.
type Platform struct {
	Address netip.AddrPort `yaml:"address"`
	// Timeout bounds each call.
	Timeout  time.Duration `yaml:"timeout"`
	Protocol Protocol      `yaml:"protocol"`
	// Instances and Advice are services of the fleet protocol.
	Instances netip.AddrPort `yaml:"machines"`
	Advice    netip.AddrPort `yaml:"advice"`
}

// Operators guards the operators' API.
type Operators struct {
	Token string `yaml:"token"`
}

// Limits bound what the process holds.
type Limits struct {
	HeaderBytes int   `yaml:"headerBytes"`
	BodyBytes   int64 `yaml:"bodyBytes"`
	// InProgress bounds the requests that are held at once.
	InProgress int64 `yaml:"inProgress"`
	// Keys and KeptAnswerBytes bound the idempotency keys and their answers.
	Keys            int   `yaml:"keys"`
	KeptAnswerBytes int64 `yaml:"keptAnswerBytes"`
	// MemoryMB is what the process may use in megabytes; 0 for no bound.
	MemoryMB int `yaml:"memoryMB"`
	// CPUShare of CPUCores is the processor time that the process has; entries
	// with more take over services first.
	CPUShare float64 `yaml:"cpuShare"`
	CPUCores float64 `yaml:"cpuCores"`
}

// Timing is the process's clock settings.
type Timing struct {
	// Dial bounds the making of a connection.
	Dial time.Duration `yaml:"dial"`
	// Fence is how long a confirmation of the registration lasts.
	Fence time.Duration `yaml:"fence"`
	// SuspectAfter is how long another entry may be silent.
	SuspectAfter time.Duration `yaml:"suspectAfter"`
	// ReadHeader and ReadBody bound the reading of a request, Write the
	// writing of its answer, and Idle an idle connection of a caller.
	ReadHeader time.Duration `yaml:"readHeader"`
	ReadBody   time.Duration `yaml:"readBody"`
	Write      time.Duration `yaml:"write"`
	Idle       time.Duration `yaml:"idle"`
}

// Shutdown is how the process stops.
type Shutdown struct {
	// BalancerLag is how long the balancer may still send after the process
	// says that it is not ready.
	BalancerLag time.Duration `yaml:"balancerLag"`
	// Grace is how long requests in flight are waited for.
	Grace time.Duration `yaml:"grace"`
}

// Default returns the settings that a file need not give.
func Default() Settings {
	return Settings{
		Platform: Platform{Timeout: 2 * time.Second, Protocol: ProtocolOwn},
		Limits: Limits{
			HeaderBytes:     32 << 10,
			BodyBytes:       1 << 20,
			InProgress:      2000,
			Keys:            20_000,
			KeptAnswerBytes: 8 << 20,
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
