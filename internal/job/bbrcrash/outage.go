package bbrcrash

import "time"

// Failure is when an upstream fell silent before it turned out to have ended, and where
// it was.
type Failure struct {
	At         time.Time
	Rack, Zone string
}

const (
	// outageWindow is the time within which upstreams that fail together fall silent.
	outageWindow = time.Second
	// minOutage is the number of upstreams from which a common failure is assumed.
	minOutage = 3
)

// Outage reports whether the failure is part of an outage of its rack or zone, which
// no work unit causes: of the upstreams there, at least two thirds failed together.
// failures are the recent failures, this one among them; sameRack and sameZone count the
// upstreams there that have not failed.
func Outage(failure Failure, failures []Failure, sameRack, sameZone int) bool {
	rack, zone := 0, 0
	for _, other := range failures {
		if other.At.Sub(failure.At).Abs() > outageWindow {
			continue
		}
		if other.Rack == failure.Rack {
			rack++
		}
		if other.Zone == failure.Zone {
			zone++
		}
	}
	return isOutage(rack, sameRack) || isOutage(zone, sameZone)
}

func isOutage(failed, left int) bool { return failed >= minOutage && failed >= 2*left }
