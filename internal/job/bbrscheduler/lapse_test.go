package bbrscheduler

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrorder"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// TestLapseCause guards against a lapse that is attributed to the wrong party: the late owner, the lost answers of the
// upstream, or the takeover.
func TestLapseCause(t *testing.T) {
	now := time.Unix(1000, 0)
	ago := func(seconds float64) time.Time { return now.Add(-time.Duration(seconds * float64(time.Second))) }
	tests := []struct {
		name  string
		lapse lapse
		want  LapseCause
	}{
		{"unknown run", lapse{}, LapseTakeover},
		{"unknown run, renewals lost", lapse{silence: silence{2, ago(3)}}, LapseTakeover},
		{"adopted, no renewal yet", lapse{known: true, adopted: true, knownSince: ago(1)}, LapseTakeover},
		{"adopted, never renewed", lapse{known: true, adopted: true, knownSince: ago(5)}, LapseNoRenewal},
		{"adopted, renewal lost", lapse{known: true, adopted: true, knownSince: ago(4), extensions: extensions{sentAt: ago(3)}, silence: silence{2, ago(2)}}, LapseLostRenewals},
		{"adopted and renewed", lapse{known: true, adopted: true, knownSince: ago(60), extensions: extensions{sentAt: ago(7), answeredAt: ago(6)}}, LapseNoRenewal},
		{"started, never renewed", lapse{known: true, knownSince: ago(2)}, LapseNoRenewal},
		{"owner late", lapse{known: true, knownSince: ago(60), extensions: extensions{sentAt: ago(7), answeredAt: ago(6)}}, LapseNoRenewal},
		{"renewal lost", lapse{known: true, knownSince: ago(60), extensions: extensions{sentAt: ago(4), answeredAt: ago(5)}, silence: silence{3, ago(2.5)}}, LapseLostRenewals},
		{"renewal lost, a query answered since", lapse{known: true, knownSince: ago(60), extensions: extensions{sentAt: ago(4), answeredAt: ago(5)}}, LapseLostRenewals},
		{"renewal lost that was sent too late", lapse{known: true, knownSince: ago(60), extensions: extensions{sentAt: ago(2), answeredAt: ago(8)}, silence: silence{1, ago(0.5)}}, LapseNoRenewal},
		{"start lost, so that queries extend nothing", lapse{known: true, knownSince: ago(60), extensions: extensions{sentAt: ago(6), answeredAt: ago(5)}, silence: silence{3, ago(4)}}, LapseLostRenewals},
		{"renewal lost long before the run", lapse{known: true, knownSince: ago(2), extensions: extensions{sentAt: ago(300), answeredAt: ago(301)}}, LapseNoRenewal},
	}
	for _, test := range tests {
		require.Equal(t, test.want, test.lapse.cause(testTiming.RunLease, now), test.name)
	}
}

// newLapseScene returns a scene with a long-running work unit that runs on i-1.
func newLapseScene(t *testing.T) *scene {
	s := newScene(t, true, "i-1")
	s.runOn(testJob, "i-1", bbrwork.Resources{MilliCPU: 1000}, true)
	return s
}

// renew makes a renewal that takes some time. An answered one lists the unit's run, or that
// it has lapsed.
func (s *scene) renew(id string, took time.Duration, lost, lapsed bool) {
	plan, known := s.sched.PlanRenewal(id, true, s.now)
	require.True(s, known)
	sent := s.now
	s.advance(took)
	if lost {
		s.sched.ApplyRenewalFailure(plan.Upstream.Incarnation, bbrorder.ErrAnswerLost, s.now)
		return
	}
	listing := bbrwork.Listing{Clock: s.now.Sub(s.start), StartMillis: 1000, Running: []bbrwork.Run{{Unit: unitName(0), Number: 1}}}
	if lapsed {
		listing.Running, listing.Ended = nil, []bbrwork.RunEnd{{Sequence: 1, Unit: unitName(0), Run: 1, Outcome: bbrwork.OutcomeLeaseExpired}}
	}
	s.sched.ApplyListing(plan.Upstream.Incarnation, &listing, sent, s.now)
}

// noteFields returns the fields of the only note of a text since the last call.
func (s *scene) noteFields(text string) map[string]any {
	notes, _ := s.sched.Notes()
	notes = slices.DeleteFunc(notes, func(note Note) bool { return note.Text != text })
	require.Len(s, notes, 1)
	fields := make(map[string]any)
	for i := 0; i < len(notes[0].Fields); i += 2 {
		fields[notes[0].Fields[i].(string)] = notes[0].Fields[i+1]
	}
	return fields
}

// TestLapsedRunTellsItsCause guards against a lapse that looks the same whether the owner
// was late, the upstream's answers were lost, or the run was never known.
func TestLapsedRunTellsItsCause(t *testing.T) {
	tests := []struct {
		name  string
		play  func(s *scene)
		cause LapseCause
		want  map[string]any
	}{
		{name: "late owner", cause: LapseNoRenewal, play: func(s *scene) { s.advance(5 * time.Second) },
			want: map[string]any{"renewalAnswered": "5.2s", "renewalSent": "5.3s", "lostAnswers": 0, "adopted": false, "age": "6.3s"}},
		{name: "lost answers", cause: LapseLostRenewals, play: func(s *scene) {
			for range 2 {
				s.renew("i-1", 1700*time.Millisecond, true, false)
			}
		}, want: map[string]any{"renewalAnswered": "3.6s", "renewalSent": "1.9s", "lostAnswers": 2, "adopted": false, "age": "4.7s"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newLapseScene(t)
			s.advance(time.Second)
			s.renew("i-1", 100*time.Millisecond, false, false)
			test.play(s)
			// The renewal whose answer has the end does not count as sent.
			s.renew("i-1", 200*time.Millisecond, false, true)
			fields := s.noteFields("Run ended")
			require.Equal(t, test.cause, fields["cause"])
			require.Equal(t, bbrwork.OutcomeLeaseExpired, fields["how"])
			for name, value := range test.want {
				require.Equal(t, value, fields[name], name)
			}
			require.Equal(t, map[LapseCause]int{test.cause: 1}, s.sched.Lapses())
		})
	}
}

// TestLapseOfUnknownRunIsATakeover guards against a lapse under an earlier owner that is
// attributed to this one.
func TestLapseOfUnknownRunIsATakeover(t *testing.T) {
	s := newScene(t, false)
	s.accept(testJob, unitStep(1))
	loadAll(s.sched, []bbrwork.Upstream{s.upstream("i-1")}, 5, s.now)
	s.register("i-1")
	s.list("i-1", bbrwork.RunEnd{Sequence: 1, Unit: unitName(0), Run: 1, Outcome: bbrwork.OutcomeLeaseExpired})
	fields := s.noteFields("Run ended")
	require.Equal(t, LapseTakeover, fields["cause"])
	require.Equal(t, "none", fields["age"])
	require.Equal(t, "none", fields["renewalSent"])
}

// TestLapseOfDroppedRunIsCounted guards against a counter that leaves out the runs which the
// owner dropped when their lease expired, before the upstream answered again.
func TestLapseOfDroppedRunIsCounted(t *testing.T) {
	s := newLapseScene(t)
	s.renew("i-1", 10*time.Millisecond, false, false)
	for range 4 {
		s.renew("i-1", 1700*time.Millisecond, true, false)
	}
	s.sched.ExpireLeases(s.now)
	// The last repetition is sent while the deadline of the lost renewal lasts.
	require.Equal(t, "3.4s", s.noteFields("Run lease of upstream expired")["renewalSent"])
	require.Empty(t, s.sched.Lapses())
	s.renew("i-1", 10*time.Millisecond, false, true)
	require.Equal(t, map[LapseCause]int{LapseLostRenewals: 1}, s.sched.Lapses())
}
