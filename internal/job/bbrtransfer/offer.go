package bbrtransfer

import (
	"cmp"
	"slices"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
	"github.com/bluebellridge/bluebellridge/internal/store/bbrkv"
)

// Group is a number of upstreams with equal free capacity and equal labels.
type Group struct {
	Count int               `json:"count"`
	Free  bbrwork.Resources `json:"free"`
	// Labels has the labels of the upstreams except their racks.
	Labels []string `json:"labels,omitempty"`
}

// Offer is what the owner of a shard reports for the other shards of its service.
type Offer struct {
	// Token is the fencing token of the owner. It accepts jobs with their progress only
	// while it has its claim.
	Token bbrkv.Revision `json:"token"`
	// Groups is the free capacity that no waiting work of the shard itself can use, at most
	// MaxGroups groups.
	Groups []Group `json:"groups,omitempty"`
	// Wanting means that the shard has jobs for which it looks for capacity elsewhere.
	Wanting bool `json:"wanting,omitempty"`
}

// MaxGroups bounds the groups in an offer, which is part of a frequent report.
const MaxGroups = 12

// Upstream is the free capacity of one upstream.
type Upstream struct {
	Free   bbrwork.Resources
	Labels []string
}

// GroupUpstreams returns the groups of the upstreams, those with the most free processor
// capacity first. Upstreams beyond MaxGroups groups are left out.
func GroupUpstreams(upstreams []Upstream) []Group {
	var groups []Group
	for _, up := range upstreams {
		if up.Free.MilliCPU <= 0 || up.Free.MemoryMB <= 0 {
			continue
		}
		at := slices.IndexFunc(groups, func(g Group) bool { return g.Free == up.Free && slices.Equal(g.Labels, up.Labels) })
		if at < 0 {
			groups = append(groups, Group{Count: 1, Free: up.Free, Labels: up.Labels})
			continue
		}
		groups[at].Count++
	}
	slices.SortStableFunc(groups, func(a, b Group) int { return cmp.Compare(b.Count*b.Free.MilliCPU, a.Count*a.Free.MilliCPU) })
	return groups[:min(len(groups), MaxGroups)]
}

// upstreams returns the upstreams of the groups, at most maxUpstreams of each.
func (o *Offer) upstreams() []Upstream {
	var upstreams []Upstream
	for _, g := range o.Groups {
		for range min(g.Count, maxUpstreams) {
			upstreams = append(upstreams, Upstream{Free: g.Free, Labels: g.Labels})
		}
	}
	return upstreams
}

// maxUpstreams bounds the upstreams of one group, as a report is read from the store.
const maxUpstreams = 256
