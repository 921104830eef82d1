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
	// began is when the wave was first seen.
	began time.Time
	done  map[string]bool
	// completed stays once it is true.
	completed bool
}

// AddWave tells the planner of a wave, with the instances that had their
// maintenance under an earlier holder and when the wave was first seen.
func (p *Planner) AddWave(in bbrmachine.Wave, done []string, began time.Time) {
	if p.waves[in.Number] != nil {
		return
	}
	w := &wave{Wave: in, began: began, done: make(map[string]bool)}
	for _, instance := range done {
		w.done[instance] = true
	}
	p.waves[in.Number] = w
}

// HasWave tells whether the wave is known.
func (p *Planner) HasWave(number int64) bool { return p.waves[number] != nil }

// atCap tells whether as many instances of the task's wave are away as may be.
func (p *Planner) atCap(t *task) bool {
	w := p.waves[t.wave]
	return w != nil && p.away(w) >= w.MaxAway
}

// away counts the instances of a wave that are or may be away for it.
func (p *Planner) away(w *wave) int {
	count := 0
	for _, id := range w.Instances {
		t := p.tasks[id]
		ordered := t != nil && t.wave == w.Number && t.phase != phaseClearing
		if ordered || p.unsure[id] || p.instances[id].Status == bbrmachine.StatusMaintained {
			count++
		}
	}
	return count
}

const (
	// paceShare is the share of a wave's time in which it should be done.
	paceShare = 0.7
	// clearing is how long taking the work off an instance usually takes.
	clearing = 2500 * time.Millisecond
)

// begin starts as many tasks of the wave as its deadline asks for. Spare
// instances, on which nothing runs, go as early as the cap allows.
func (p *Planner) begin(w *wave, now time.Time) {
	left := p.left(w)
	busy := 0
	for _, t := range p.tasks {
		if t.wave == w.Number {
			busy++
		}
	}
	want := p.wanted(w, len(left)+busy, now)
	for busy < 2*w.MaxAway && len(left) > 0 {
		next := p.pick(left)
		if busy >= want && (p.instances[next].Pool != p.spare || busy >= w.MaxAway) {
			return
		}
		busy++
		left = slices.DeleteFunc(left, func(id string) bool { return id == next })
		p.tasks[next] = &task{instance: next, wave: w.Number, life: p.instances[next].Upstream, since: now}
	}
}

// left returns the wave's instances that still need a task and are there.
func (p *Planner) left(w *wave) []string {
	var left []string
	for _, id := range w.Instances {
		instance, listed := p.instances[id]
		free := p.tasks[id] == nil || p.tasks[id].held
		if !w.done[id] && free && listed && instance.Status == bbrmachine.StatusUp {
			left = append(left, id)
		}
	}
	return left
}

// wanted returns how many instances should be in work at once.
func (p *Planner) wanted(w *wave, open int, now time.Time) int {
	if p.short && p.canWait(w, open, now) {
		return 0
	}
	cycle := clearing + p.MaintenanceTime
	rest := time.Duration(paceShare*float64(w.TimeLimit)) - now.Sub(w.began)
	if rest < cycle {
		return 2 * w.MaxAway
	}
	need := int((time.Duration(open)*cycle + rest - 1) / rest)
	return min(max(1, need), 2*w.MaxAway)
}

const (
	// lateShare is the share of a wave's time in which it is done also where it
	// was put off.
	lateShare = 0.8
	// orderLag is what an instance's time away grows by until the next one is
	// ordered.
	orderLag = time.Second
	// waitMargin is how much more time than computed is left to a wave that is
	// put off.
	waitMargin = 1.5
)

// canWait tells whether the wave would be done in time if it began later, with
// as many instances away at once as it may have.
func (p *Planner) canWait(w *wave, open int, now time.Time) bool {
	rounds := (open + w.MaxAway - 1) / max(1, w.MaxAway)
	need := clearing + time.Duration(rounds)*(p.MaintenanceTime+orderLag)
	left := time.Duration(lateShare*float64(w.TimeLimit)) - now.Sub(w.began)
	return time.Duration(waitMargin*float64(need)) < left
}

// pick returns an instance of the spare pool, or else one whose part of a pool
// has the smallest share in work.
func (p *Planner) pick(left []string) string {
	size, busy := make(map[Partition]int), make(map[Partition]int)
	for id, instance := range p.instances {
		part, _ := p.partOf(instance, instance.Pool)
		size[part]++
		if p.tasks[id] != nil || instance.Status != bbrmachine.StatusUp {
			busy[part]++
		}
	}
	share := func(id string) float64 {
		part, _ := p.partOf(p.instances[id], p.instances[id].Pool)
		if part.Pool == p.spare {
			return -1
		}
		return float64(busy[part]) / float64(max(1, size[part]))
	}
	return slices.MinFunc(left, func(a, b string) int {
		return cmp.Or(cmp.Compare(share(a), share(b)), cmp.Compare(a, b))
	})
}

// WaveProgress is the stored state of a wave.
type WaveProgress struct {
	Wave      int64
	Done      []string
	StartTime time.Time
	// Completed means that every instance that stays had its maintenance and is
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
			StartTime: w.began,
			Completed: p.completed(w),
		})
	}
	return list
}

// completed tells whether the wave is done. Instances that have had their
// maintenance may be moved meanwhile.
func (p *Planner) completed(w *wave) bool {
	if w.completed || p.listed.IsZero() {
		return w.completed
	}
	for _, id := range w.Instances {
		t := p.tasks[id]
		if _, listed := p.instances[id]; listed && !w.done[id] || t != nil && t.wave == w.Number {
			return false
		}
	}
	w.completed = true
	return true
}
