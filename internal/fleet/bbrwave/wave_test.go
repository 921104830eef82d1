package bbrwave

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrview"
)

// maintenance is a wave with its zones, and what really happened.
type maintenance struct {
	wave     Wave
	views    []bbrview.View
	now      time.Time
	rebooted map[string]int
}

// withdraw writes a withdrawal that was recorded as started, now or late.
func (m *maintenance) withdraw(z int, id, operation string) {
	_ = m.views[z].Withdraw(bbrview.Withdrawal{Instance: id, Plan: bbrview.Reboot, Operation: operation}, m.now)
}

// comeBack ends the reboot of a withdrawn instance.
func (m *maintenance) comeBack(z int, id string) {
	instance := m.views[z].Instances[id]
	if instance.State != bbrview.Draining {
		return
	}
	m.rebooted[id]++
	instance.State = bbrview.Serving
	instance.Operation = ""
	m.views[z].Instances[id] = instance
}

func (m *maintenance) check(t *rapid.T) {
	failed := m.wave.Count(Failed) - m.wave.AcknowledgedFailures
	for _, view := range m.views {
		racks := make(map[string]bool)
		started := 0
		for _, progress := range m.wave.Instances {
			if progress.Zone == view.Zone && progress.Phase == Started {
				racks[progress.Rack] = true
				started++
			}
		}
		require.LessOrEqual(t, len(racks), 1, "should be one rack at a time")
		require.LessOrEqual(t, started, maxWidth)
		next := m.wave.Next(view.Zone)
		if m.wave.Count(Finished) == 0 {
			require.LessOrEqual(t, len(next)+started, 1, "should start with one")
		}
		require.True(t, len(next) == 0 || failed < haltAfter, "should halt")
	}
	for id, progress := range m.wave.Instances {
		if progress.Phase == Finished {
			require.Positive(t, m.rebooted[id], "%s should have been rebooted", id)
		}
	}
	if m.wave.Status == Done {
		require.Zero(t, m.wave.Count(Pending)+m.wave.Count(Started))
	}
}

// TestWaveSaysWhatItDid runs a wave through refusals, lost instances, writes
// that come late or not at all, and operators. It never calls an instance
// finished that was not rebooted, and keeps to one rack of a zone.
func TestWaveSaysWhatItDid(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		views, _ := fleetOf(2, 16, 3, 1)
		now := time.Unix(1000, 0)
		wave, err := New("w", "", "operation", views, now)
		require.NoError(t, err)
		m := &maintenance{wave: wave, views: views, now: now, rebooted: make(map[string]int)}
		var late []func()
		zone := func(t *rapid.T) int { return rapid.IntRange(0, 1).Draw(t, "zone") }
		instance := func(t *rapid.T, z int) string {
			return rapid.SampledFrom(slices.Sorted(maps.Keys(m.views[z].Instances))).Draw(t, "instance")
		}
		duty := func(t *rapid.T) {
			z := zone(t)
			m.wave.Observe(&m.views[z], m.now)
			for _, id := range m.wave.Next(m.views[z].Zone) {
				require.Equal(t, Pending, m.wave.Instances[id].Phase)
				m.wave.Start(id, m.now)
				operation := m.wave.OperationFor(id)
				switch rapid.IntRange(0, 5).Draw(t, "fate") {
				case 0:
					m.wave.Requeue(id, m.now)
				case 1:
					late = append(late, func() { m.withdraw(z, id, operation) })
				default:
					m.withdraw(z, id, operation)
				}
			}
		}
		back := func(t *rapid.T) {
			z := zone(t)
			for id := range m.views[z].Instances {
				if rapid.Bool().Draw(t, "is back") {
					m.comeBack(z, id)
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"":          m.check,
			"duty":      duty,
			"dutyAgain": duty,
			"dutyMore":  duty,
			"back":      back,
			"backAgain": back,
			"lateWrite": func(*rapid.T) {
				for _, write := range late {
					write()
				}
				late = nil
			},
			"time": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 1200).Draw(t, "seconds")) * time.Second)
			},
			"lose": func(t *rapid.T) { z := zone(t); m.views[z].MarkLost(instance(t, z), "lost", m.now) },
			"operator": func(t *rapid.T) {
				z := zone(t)
				m.withdraw(z, instance(t, z), rapid.SampledFrom([]string{"other-1", "other-2"}).Draw(t, "operation"))
			},
			"halt":   func(*rapid.T) { _ = m.wave.Halt(m.now) },
			"resume": func(*rapid.T) { _ = m.wave.Resume(m.now) },
		})
	})
}
