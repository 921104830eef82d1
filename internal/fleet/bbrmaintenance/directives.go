package bbrmaintenance

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrmachine"
)

// SetDirectives sets the operators' directives. A drained instance takes no work and
// counts for no pool; a pinned one is moved to its pool and stays there. Waves maintain
// both, and the directive applies again afterwards.
func (p *Planner) SetDirectives(directives bbrmachine.Directives, now time.Time) {
	p.directives = directives
	for id, t := range p.tasks {
		if directive, exists := directives[id]; t.drained && !(exists && directive.Drained()) {
			delete(p.tasks, id)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(directives)) {
		if instance, listed := p.instances[id]; listed {
			p.applyDirective(instance, directives[id], now)
		}
	}
}

// applyDirective starts the task that a directive asks for, unless another task of the
// instance is still open.
func (p *Planner) applyDirective(instance bbrmachine.Instance, directive bbrmachine.Directive, now time.Time) {
	t := p.tasks[instance.ID]
	switch {
	case t != nil && t.drained:
		t.upstream = cmp.Or(instance.Upstream, t.upstream)
	case t != nil:
	case directive.Drained():
		p.tasks[instance.ID] = &task{instance: instance.ID, upstream: instance.Upstream, since: now, drained: true}
	case instance.Pool != directive.Pool && instance.Status == bbrmachine.StatusUp && !p.inDoubt[instance.ID]:
		p.tasks[instance.ID] = &task{instance: instance.ID, pool: directive.Pool, upstream: instance.Upstream, since: now}
	}
}

// updateDirectives passes the operators' directives to the planner and logs those that
// changed.
func (controller *Controller) updateDirectives(now time.Time) {
	directives := controller.Directives()
	for _, id := range slices.Sorted(maps.Keys(directives)) {
		if known, ok := controller.directives[id]; !ok || known != directives[id] {
			klog.InfoS("Directive in force", "instance", id, "drained", directives[id].Drained(), "pool", directives[id].Pool,
				"reason", directives[id].Reason, "age", now.Sub(directives[id].Since).Round(time.Millisecond), "token", controller.Held.Token)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(controller.directives)) {
		if _, ok := directives[id]; !ok {
			klog.InfoS("Directive ended", "instance", id, "token", controller.Held.Token)
		}
	}
	controller.directives = directives
	controller.planner.SetDirectives(directives, now)
}
