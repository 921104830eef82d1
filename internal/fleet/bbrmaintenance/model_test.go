package bbrmaintenance

import (
	"fmt"
	"maps"
	"os"
	"runtime/debug"
	"slices"
	"testing"
	"time"

	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrmachine"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrscheduler"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

const (
	modelStep = 50 * time.Millisecond
	// modelRoundInterval is the time between two rounds of the fleet leader and between two
	// reports of an owner; modelReportDelay is the time until a report can be read.
	modelRoundInterval = 150 * time.Millisecond
	modelReportDelay   = 100 * time.Millisecond
	// modelMoveTime and modelMaintenanceTime are how long an instance is away for a move
	// and for its maintenance.
	modelMoveTime        = 1500 * time.Millisecond
	modelMaintenanceTime = 2 * time.Second
	// modelMaxReleasable bounds the upstreams that a report offers for release.
	modelMaxReleasable = 16
	// maxStartWait is how long a work unit may wait once its dependencies are done, and
	// maxLongRunningStartWait the same for long-running work.
	maxStartWait            = 3 * time.Second
	maxLongRunningStartWait = 6 * time.Second
)

var modelTiming = bbrscheduler.Timing{
	RunLease:         4500 * time.Millisecond,
	MaxRunLease:      6 * time.Second,
	StartTimeout:     1500 * time.Millisecond,
	Handover:         2200 * time.Millisecond,
	StopTimeout:      900 * time.Millisecond,
	RecoveryTime:     4500 * time.Millisecond,
	RemoteDataFactor: 3,
}

// model runs the owners of pools and the fleet leader under a virtual clock. It simulates
// the platform and the upstreams, and collects violations of the project's guarantees.
type model struct {
	now time.Time
	// ids lists the instances in order.
	ids       []string
	instances map[string]*modelInstance
	// instancesByUpstream maps upstream IDs to instances, including those of earlier
	// incarnations.
	instancesByUpstream map[string]*modelInstance
	owners              map[string]*modelOwner
	// pools lists the pools that have an owner, in order.
	pools      []string
	controller *Controller
	planner    *Planner
	sparePool  string
	// directives are the operators' directives for instances.
	directives bbrmachine.Directives
	// listedAt is when the leader last listed the instances, and leaderRanAt is when it
	// last ran a round.
	listedAt, leaderRanAt time.Time
	// reserved holds the upstream IDs that the leader reserved.
	reserved map[string]bool
	// moves counts the moves into each pool.
	moves map[string]int
	units map[bbrwork.Unit]*modelUnit
	// unitsInOrder holds the same work units in the order of arrival.
	unitsInOrder []*modelUnit
	// waitsCountFrom is the time from which waits count against maxStartWait and
	// maxLongRunningStartWait.
	waitsCountFrom time.Time
	// losesMessages reports whether a start, and whether its answer, is lost; nil loses
	// none.
	losesMessages func() (start, answer bool)
	violations    []string
}

// gcPercent is how far the heap may grow between collections, in percent of what is in
// use. The heap of a model is so small that it would be collected all the time otherwise.
const gcPercent = 400

func TestMain(m *testing.M) {
	debug.SetGCPercent(gcPercent)
	os.Exit(m.Run())
}

// newModel returns a model of pools of equal instances. offPool is the spare pool.
func newModel(capacity bbrwork.Resources, sizes map[string]int) *model {
	m := &model{
		now:                 time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC),
		instances:           make(map[string]*modelInstance),
		instancesByUpstream: make(map[string]*modelInstance),
		owners:              make(map[string]*modelOwner),
		planner:             NewPlanner(modelMaintenanceTime),
		moves:               make(map[string]int),
		units:               make(map[bbrwork.Unit]*modelUnit),
	}
	for _, pool := range slices.Sorted(maps.Keys(sizes)) {
		if pool != offPool {
			m.pools = append(m.pools, pool)
			m.owners[pool] = newModelOwner(pool, m.now)
		} else if sizes[offPool] > 0 {
			m.sparePool = offPool
		}
		for range sizes[pool] {
			id := fmt.Sprintf("i%03d", len(m.ids))
			m.ids = append(m.ids, id)
			labels := []string{"a", fmt.Sprintf("rack-%d", len(m.ids)%8)}
			m.instances[id] = &modelInstance{Instance: bbrmachine.Instance{ID: id, Pool: pool, Labels: labels, Capacity: capacity}}
			m.boot(m.instances[id])
		}
	}
	m.controller = m.newController()
	return m
}

// accept submits a job to a pool and returns it.
func (m *model) accept(pool string, steps ...bbrwork.Step) *bbrwork.Job {
	o := m.owners[pool]
	o.revision++
	job := &bbrwork.Job{ID: fmt.Sprintf("%s-%d", pool, len(o.jobs)), Queue: pool, Service: pool, Spec: "x", Steps: steps, Accepted: m.now}
	o.jobs = append(o.jobs, job)
	o.accepted[job.ID] = o.revision
	m.addUnits(job)
	o.scheduler.AddJob(job, o.revision, nil, m.now)
	return job
}

// addUnits adds the work units of a job.
func (m *model) addUnits(job *bbrwork.Job) {
	bySteps := make([][]*modelUnit, len(job.Steps))
	for number := range job.Steps {
		step := &job.Steps[number]
		var dependencies []*modelUnit
		for _, dependency := range step.DependsOn {
			dependencies = append(dependencies, bySteps[dependency]...)
		}
		for index := range step.Count {
			u := &modelUnit{name: bbrwork.Unit{Job: job.ID, Step: number, Index: index}, step: step, dependencies: dependencies}
			m.units[u.name] = u
			bySteps[number] = append(bySteps[number], u)
		}
		m.unitsInOrder = append(m.unitsInOrder, bySteps[number]...)
	}
}

// state returns the stored final state of a job, or an empty one.
func (m *model) state(job *bbrwork.Job) bbrwork.State { return m.owners[job.Service].final[job.ID] }

// run advances the model by d.
func (m *model) run(d time.Duration) {
	for end := m.now.Add(d); m.now.Before(end); {
		m.step()
	}
}

// runUntil advances the model until the condition is true, but by no more than d.
func (m *model) runUntil(condition func() bool, d time.Duration) {
	for end := m.now.Add(d); m.now.Before(end) && !condition(); {
		m.step()
	}
}

// step advances the model by modelStep.
func (m *model) step() {
	m.now = m.now.Add(modelStep)
	for _, id := range m.ids {
		m.tick(m.instances[id])
	}
	for _, pool := range m.pools {
		m.runOwner(m.owners[pool])
	}
	m.checkWaits()
	if m.now.Sub(m.leaderRanAt) >= modelRoundInterval {
		m.leaderRanAt = m.now
		m.runLeader()
	}
}
