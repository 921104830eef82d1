package bbrmaintenance

import (
	"maps"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrmachine"
)

// SetDirectives tells the planner what operators ask of instances. A drained
// instance takes no work and counts for no pool; a pinned one is moved to its
// pool and stays. Waves take both, and the directive holds again afterwards.
func (p *Planner) SetDirectives(directives bbrmachine.Directives, now time.Time) {
	p.directives = directives
	for id, t := range p.tasks {
		if directive, asked := directives[id]; t.held && !(asked && directive.Drained()) {
			delete(p.tasks, id)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(directives)) {
		if instance, listed := p.instances[id]; listed {
			p.obey(instance, directives[id], now)
		}
	}
}

// obey begins what a directive asks for. Work that is under way already ends
// first.
func (p *Planner) obey(instance bbrmachine.Instance, directive bbrmachine.Directive, now time.Time) {
	t := p.tasks[instance.ID]
	switch {
	case t != nil && t.held:
		t.life = instance.Upstream
	case t != nil:
	case directive.Drained():
		p.tasks[instance.ID] = &task{instance: instance.ID, life: instance.Upstream, since: now, held: true}
	case instance.Pool != directive.Pool && instance.Status == bbrmachine.StatusUp && !p.unsure[instance.ID]:
		p.tasks[instance.ID] = &task{instance: instance.ID, pool: directive.Pool, life: instance.Upstream, since: now}
	}
}

// learnDirectives hands the operators' directives to the planner, and logs what
// changed.
func (k *Controller) learnDirectives(now time.Time) {
	directives := k.Directives()
	for _, id := range slices.Sorted(maps.Keys(directives)) {
		if known, ok := k.directives[id]; !ok || known != directives[id] {
			klog.InfoS("Directive known", "instance", id, "drained", directives[id].Drained(), "pool", directives[id].Pool,
				"reason", directives[id].Reason, "age", now.Sub(directives[id].Since).Round(time.Millisecond), "token", k.Held.Token)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(k.directives)) {
		if _, ok := directives[id]; !ok {
			klog.InfoS("Directive ended", "instance", id, "token", k.Held.Token)
		}
	}
	k.directives = directives
	k.planner.SetDirectives(directives, now)
}
