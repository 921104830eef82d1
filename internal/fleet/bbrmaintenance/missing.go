package bbrmaintenance

import (
	"slices"
	"time"

	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrmachine"
)

// missingTTL is how long an instance must be missing from the lists before it is gone. It
// exceeds the time in which an upstream restarts, for which its instance may be missing.
const missingTTL = 5 * time.Second

// withMissing returns the list with the instances that are missing from it and not gone yet,
// as they were last listed. One that was up then has an unknown status.
func (p *Planner) withMissing(list []bbrmachine.Instance, requestedAt time.Time) []bbrmachine.Instance {
	listed := make(map[string]bool, len(list))
	for _, instance := range list {
		listed[instance.ID] = true
	}
	earlier := p.missingSince
	p.missingSince = make(map[string]time.Time)
	list = slices.Clip(list)
	for id, instance := range p.instances {
		if listed[id] {
			continue
		}
		since, known := earlier[id]
		if !known {
			since = requestedAt
		}
		if requestedAt.Sub(since) >= missingTTL {
			continue
		}
		p.missingSince[id] = since
		if instance.Status == bbrmachine.StatusUp {
			instance.Status = bbrmachine.StatusUnknown
		}
		list = append(list, instance)
	}
	return list
}

// isGone reports whether an instance has been missing from the lists for missingTTL.
func (p *Planner) isGone(id string) bool {
	_, known := p.instances[id]
	return !known && p.listedAt.Sub(p.firstListedAt) >= missingTTL
}
