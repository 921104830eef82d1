package bbrmaintenance

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrmachine"
)

// wave is the state of a wave.
type wave struct {
	bbrmachine.Wave
	// startTime is when the wave was first read.
	startTime time.Time
	// done holds the instances that have had their maintenance.
	done map[string]bool
	// completed stays true once it is.
	completed bool
}

// AddWave adds a wave unless it is known. done lists the instances that had their
// maintenance under earlier leaders, and startTime is when the wave was first read.
func (p *Planner) AddWave(added bbrmachine.Wave, done []string, startTime time.Time) {
	if p.waves[added.Number] != nil {
		return
	}
	w := &wave{Wave: added, startTime: startTime, done: make(map[string]bool)}
	for _, instance := range done {
		w.done[instance] = true
	}
	p.waves[added.Number] = w
}

// HasWave reports whether the wave was added.
func (p *Planner) HasWave(number int64) bool { return p.waves[number] != nil }

// atLimit reports whether as many instances of the task's wave are away as it allows.
func (p *Planner) atLimit(t *task) bool {
	w := p.waves[t.wave]
	return w != nil && p.awayCount(w) >= w.MaxAway
}

// awayCount counts the instances of a wave that are or may be away for it.
func (p *Planner) awayCount(w *wave) int {
	count := 0
	for _, id := range w.Instances {
		t := p.tasks[id]
		ordered := t != nil && t.wave == w.Number && (t.phase != phaseDraining || p.awaitsList(t))
		if ordered || p.inDoubt[id] || p.instances[id].Status == bbrmachine.StatusMaintained {
			count++
		}
	}
	return count
}

const (
	// paceFraction is the share of a wave's time limit within which it should be
	// completed.
	paceFraction = 0.7
	// drainTime is how long it usually takes to drain an instance.
	drainTime = 2500 * time.Millisecond
)

// startTasks starts as many tasks of the wave as its time limit demands. Spare instances,
// on which nothing runs, are started as soon as MaxAway allows.
func (p *Planner) startTasks(w *wave, now time.Time) {
	remaining := p.remaining(w)
	started := 0
	for _, t := range p.tasks {
		if t.wave == w.Number {
			started++
		}
	}
	target := p.targetTasks(w, len(remaining)+started, now)
	for started < 2*w.MaxAway && len(remaining) > 0 {
		next := p.pickNext(remaining)
		if started >= target && (p.instances[next].Pool != p.sparePool || started >= w.MaxAway) {
			return
		}
		started++
		remaining = slices.DeleteFunc(remaining, func(id string) bool { return id == next })
		p.tasks[next] = &task{instance: next, wave: w.Number, upstream: p.instances[next].Upstream, since: now}
	}
}

// remaining returns the wave's instances that still need a task and are up.
func (p *Planner) remaining(w *wave) []string {
	var remaining []string
	for _, id := range w.Instances {
		instance, listed := p.instances[id]
		available := p.tasks[id] == nil || p.tasks[id].drained
		if !w.done[id] && available && listed && instance.Status == bbrmachine.StatusUp {
			remaining = append(remaining, id)
		}
	}
	return remaining
}

// targetTasks returns how many of the wave's tasks should be open at once.
func (p *Planner) targetTasks(w *wave, open int, now time.Time) int {
	if p.shortage && p.canDefer(w, open, now) {
		return 0
	}
	cycle := drainTime + p.MaintenanceTime
	left := time.Duration(paceFraction*float64(w.TimeLimit)) - now.Sub(w.startTime)
	if left < cycle {
		return 2 * w.MaxAway
	}
	target := int((time.Duration(open)*cycle + left - 1) / left)
	return min(max(1, target), 2*w.MaxAway)
}

const (
	// deferredFraction is the share of a wave's time limit within which it is completed
	// even if it was deferred.
	deferredFraction = 0.8
	// orderDelay is the time between the return of one instance and the order for the
	// next.
	orderDelay = time.Second
	// deferralMargin is the ratio between the time that is kept for a deferred wave and
	// the computed time that it needs.
	deferralMargin = 1.5
)

// canDefer reports whether the wave would still be completed in time if it started later,
// with as many instances away at once as it allows.
func (p *Planner) canDefer(w *wave, open int, now time.Time) bool {
	rounds := (open + w.MaxAway - 1) / max(1, w.MaxAway)
	required := drainTime + time.Duration(rounds)*(p.MaintenanceTime+orderDelay)
	left := time.Duration(deferredFraction*float64(w.TimeLimit)) - now.Sub(w.startTime)
	return time.Duration(deferralMargin*float64(required)) < left
}

// pickNext returns an instance of the spare pool, or else one whose partition has the
// smallest share of its instances away or in a task.
func (p *Planner) pickNext(remaining []string) string {
	size, busy := make(map[Partition]int), make(map[Partition]int)
	for id, instance := range p.instances {
		partition, _ := p.partitionOf(instance, instance.Pool)
		size[partition]++
		if p.tasks[id] != nil || instance.Status != bbrmachine.StatusUp {
			busy[partition]++
		}
	}
	share := func(id string) float64 {
		partition, _ := p.partitionOf(p.instances[id], p.instances[id].Pool)
		if partition.Pool == p.sparePool {
			return -1
		}
		return float64(busy[partition]) / float64(max(1, size[partition]))
	}
	return slices.MinFunc(remaining, func(left, right string) int {
		return cmp.Or(cmp.Compare(share(left), share(right)), cmp.Compare(left, right))
	})
}

// WaveProgress is the state of a wave, as it is stored.
type WaveProgress struct {
	Wave      int64
	Done      []string
	StartTime time.Time
	// Completed means that every instance that is not gone has had its maintenance and is
	// up again.
	Completed bool
}

// Progress returns the state of all waves in order.
func (p *Planner) Progress() []WaveProgress {
	var list []WaveProgress
	for _, number := range slices.Sorted(maps.Keys(p.waves)) {
		w := p.waves[number]
		list = append(list, WaveProgress{
			Wave:      number,
			Done:      slices.Sorted(maps.Keys(w.done)),
			StartTime: w.startTime,
			Completed: p.waveCompleted(w),
		})
	}
	return list
}

// waveCompleted reports whether the wave is completed. Moves of instances that have had
// their maintenance do not delay it.
func (p *Planner) waveCompleted(w *wave) bool {
	if w.completed || p.listedAt.IsZero() {
		return w.completed
	}
	for _, id := range w.Instances {
		t := p.tasks[id]
		if !w.done[id] && !p.isGone(id) || t != nil && t.wave == w.Number {
			return false
		}
	}
	w.completed = true
	return true
}
