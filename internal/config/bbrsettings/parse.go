package bbrsettings

import (
	"net/netip"
	"time"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrcode"
	"github.com/bluebellridge/bluebellridge/internal/config/bbryaml"
)

// Limits of the values of settings.
const (
	minFence       = 3 * time.Second
	maxDuration    = time.Hour
	minTokenLength = 16
	minValueBytes  = 64 << 10
	maxInProgress  = 100_000
	maxBodyBytes   = 16 << 20
	maxKeys        = 1_000_000
	maxBandwidth   = 1_000_000
	// minDescriptors leaves some for connections beside those reserved for files.
	minDescriptors  = 400
	minHeaderFields = 16
)

// checker collects errors with their positions in the file.
type checker struct {
	positions bbryaml.Positions
	errs      []*bbrcode.Error
}

// Parse parses and validates settings and returns all errors.
func Parse(data []byte) (Settings, []*bbrcode.Error) {
	settings := Default()
	positions, errs := bbryaml.Decode(data, &settings)
	check := &checker{positions: positions, errs: errs}
	check.identity(settings)
	check.protocol(settings)
	check.limits(settings.Limits)
	check.timing(settings)
	return settings, check.errs
}

func (c *checker) require(ok bool, code bbrcode.Code, path, format string, args ...any) {
	if !ok {
		c.errs = append(c.errs, bbrcode.Errorf(code, c.positions.Of(path), format, args...))
	}
}

func (c *checker) address(address netip.AddrPort, path string) {
	c.require(address.IsValid() && address.Port() != 0, bbrcode.SettingsMissing, path, "must be an IP address and port, such as 10.0.0.1:7001")
}

func (c *checker) identity(s Settings) {
	c.require(s.Entry != "", bbrcode.SettingsMissing, "entry", "must name the entry")
	c.require(s.Zone != "", bbrcode.SettingsMissing, "zone", "must name the availability zone")
	c.address(s.Listen.Callers, "listen.callers")
	bothOrNone := (s.Listen.TLS.Certificate == "") == (s.Listen.TLS.Key == "")
	c.require(bothOrNone, bbrcode.SettingsInvalid, "listen.tls", "certificate and key must be given together")
}

// protocol checks the settings that only one of the protocols uses.
func (c *checker) protocol(s Settings) {
	switch s.Platform.Protocol {
	case ProtocolOwn:
		c.withoutJobs(s.Jobs)
		c.address(s.Listen.Operators, "listen.operators")
		c.address(s.Listen.Peers, "listen.peers")
		c.address(s.Platform.Address, "platform.address")
		c.require(!s.Listen.Peers.Addr().IsUnspecified(), bbrcode.SettingsInvalid, "listen.peers", "must be an address that the other entries can reach")
		c.token(s)
	case ProtocolFleet:
		if s.Listen.Operators.IsValid() {
			c.token(s)
		}
		c.address(s.Listen.Readiness, "listen.readiness")
		c.address(s.Listen.Metrics, "listen.metrics")
		c.address(s.Platform.Address, "platform.address")
		c.address(s.Platform.Instances, "platform.machines")
		c.size(int64(s.Platform.MaxValueBytes), minValueBytes, 1<<30, "platform.valueBytes")
		c.require(!s.Listen.Peers.Addr().IsUnspecified(), bbrcode.SettingsInvalid, "listen.peers", "must be an address that the other entries can reach")
		c.jobs(s.Jobs)
		c.require(!s.Jobs.BalanceByCapacity || s.Listen.Peers.IsValid(), bbrcode.SettingsInvalid, "jobs.balanceByCapacity", "needs listen.peers, as entries learn the room of cells from one another")
	default:
		c.require(false, bbrcode.SettingsInvalid, "platform.protocol", "must be %s or %s", ProtocolOwn, ProtocolFleet)
	}
}

// withoutJobs checks that no part that only the fleet protocol has is enabled.
func (c *checker) withoutJobs(j Jobs) {
	for _, part := range []struct {
		path    string
		enabled bool
	}{
		{"jobs.reservations", j.Reservations},
		{"jobs.separateInterfering", j.SeparateInterfering},
		{"jobs.fairShares", j.FairShares},
		{"jobs.refuseBeyondShare", j.RefuseBeyondShare},
		{"jobs.balanceByCapacity", j.BalanceByCapacity},
	} {
		c.require(!part.enabled, bbrcode.SettingsInvalid, part.path, "needs platform.protocol %s", ProtocolFleet)
	}
}

func (c *checker) token(s Settings) {
	c.require(len(s.Operators.Token) >= minTokenLength, bbrcode.SettingsMissing, "operators.token", "must have at least %d characters", minTokenLength)
}

func (c *checker) jobs(j Jobs) {
	c.duration(j.RunLease, time.Second, "jobs.hold")
	c.require(j.FairShares || !j.RefuseBeyondShare, bbrcode.SettingsInvalid, "jobs.refuseBeyondShare", "needs jobs.fairShares")
	c.duration(j.RecoveryTime, time.Millisecond, "jobs.notice")
	c.duration(j.EndedJobRetention, time.Second, "jobs.keepEnded")
	c.duration(j.LeadershipLease, 0, "jobs.dutyLease")
	c.duration(j.MaintenanceDuration, 0, "jobs.upkeep")
	c.duration(j.StopTimeout, 0, "jobs.stop")
	c.duration(j.MaxConfigApplyDelay, 100*time.Millisecond, "jobs.configApply")
	c.require(j.RemoteDataFactor >= 1, bbrcode.SettingsInvalid, "jobs.farFactor", "must be at least 1")
}

func (c *checker) limits(l Limits) {
	c.size(int64(l.HeaderBytes), 1<<10, 1<<20, "limits.headerBytes")
	c.size(l.BodyBytes, 1, maxBodyBytes, "limits.bodyBytes")
	c.size(l.InProgress, 1, maxInProgress, "limits.inProgress")
	c.size(int64(l.Keys), 1, maxKeys, "limits.keys")
	c.size(l.KeptAnswerBytes, 0, 1<<30, "limits.keptAnswerBytes")
	c.require(l.CPUShare > 0 && l.CPUCores > 0, bbrcode.SettingsInvalid, "limits", "cpuShare and cpuCores must be above 0")
	c.size(int64(l.MemoryMB), 0, 1<<20, "limits.memoryMB")
	c.require(l.BandwidthMbps >= 0 && l.BandwidthMbps <= maxBandwidth, bbrcode.SettingsInvalid, "limits.bandwidthMbps", "%g is not from 0 to %d", l.BandwidthMbps, int(maxBandwidth))
	c.require(l.Descriptors == 0 || l.Descriptors >= minDescriptors && l.Descriptors <= 1<<20, bbrcode.SettingsInvalid,
		"limits.descriptors", "%d is neither 0 nor from %d to %d", l.Descriptors, minDescriptors, 1<<20)
	c.size(int64(l.Connections), 0, 1<<20, "limits.connections")
	c.size(l.BytesInFlight, 0, 1<<40, "limits.bytesInFlight")
	c.size(int64(l.HeaderFields), minHeaderFields, 10_000, "limits.headerFields")
	c.size(l.MinTransferRate, 1, 1<<30, "limits.minTransferRate")
}

func (c *checker) size(value, minimum, maximum int64, path string) {
	c.require(value >= minimum && value <= maximum, bbrcode.SettingsInvalid, path, "%d is not from %d to %d", value, minimum, maximum)
}

func (c *checker) timing(s Settings) {
	c.duration(s.Platform.Timeout, time.Millisecond, "platform.timeout")
	c.duration(s.Timing.Dial, time.Millisecond, "timing.dial")
	c.duration(s.Timing.Fence, minFence, "timing.fence")
	c.duration(s.Timing.SuspectAfter, time.Second, "timing.suspectAfter")
	c.duration(s.Timing.ReadHeader, time.Second, "timing.readHeader")
	c.duration(s.Timing.ReadBody, time.Second, "timing.readBody")
	c.duration(s.Timing.Write, time.Second, "timing.write")
	c.duration(s.Timing.Idle, time.Second, "timing.idle")
	c.duration(s.Timing.Stall, time.Second, "timing.stall")
	c.duration(s.Shutdown.BalancerLag, 0, "shutdown.balancerLag")
	c.duration(s.Shutdown.Grace, time.Second, "shutdown.grace")
}

func (c *checker) duration(value, minimum time.Duration, path string) {
	c.require(value >= minimum && value <= maxDuration, bbrcode.SettingsInvalid, path, "%s is not from %s to %s", value, minimum, maxDuration)
}
