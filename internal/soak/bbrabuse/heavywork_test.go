package bbrabuse

import (
	"bufio"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// heavyJobs bounds the jobs of a shape that are submitted.
const heavyJobs = 400

// TestAcceptedWorkStaysWithinMemory guards against entries that exceed their memory with work that they
// have accepted, as owners and after a restart as successors: schedules of months, of which all or
// none is due, very wide steps, and many jobs. Small jobs beside it are run, and what is refused is told
// to come back.
func TestAcceptedWorkStaysWithinMemory(t *testing.T) {
	const step = `{"count":%d,"cpu":3000,"mem_mb":100,"estimate_ms":60000}`
	started := time.Now().UnixMilli()
	schedule := func(units, count int, firstMs, everyMs int64) string {
		return fmt.Sprintf(`{"spec":"60000ms","steps":[`+step+`],"run_count":%d,"initial_delay_ms":%d,"interval_ms":%d}`, units, count, firstMs, everyMs)
	}
	shapes := map[string]string{
		"to come":      schedule(1, 86_400, started+3_600_000, 60_000),
		"all due":      schedule(1, 86_400, started-3_600_000, 1),
		"wide and due": schedule(100, 1000, started-3_600_000, 1),
		"one wide run": fmt.Sprintf(`{"spec":"60000ms","steps":[`+step+`]}`, 100_000),
		"middling":     fmt.Sprintf(`{"spec":"60000ms","steps":[`+step+`,`+step+`]}`, 500, 500),
	}
	for name, body := range shapes {
		t.Run(name, func(t *testing.T) {
			s := startFleet(t)
			s.configure(t)
			s.runOrdinaryJob(t)
			accepted := s.submitHeavy(t, body)
			s.check(t, fmt.Sprintf("%s, %d accepted", name, accepted), 0)
			s.runOrdinaryJob(t)
			held := s.heldBytes(t)
			s.restartEntry(t)
			s.runOrdinaryJob(t)
			eventually(t, "the successor holds what its predecessor held", func() bool { return s.heldBytes(t) > held*9/10 })
			s.check(t, name+", after a restart", 0)
		})
	}
}

// submitHeavy submits jobs until one is refused, and returns how many were accepted.
func (s *system) submitHeavy(t *testing.T, body string) int {
	for n := range heavyJobs {
		path := fmt.Sprintf("/press/%016x", 0xbeef0000+n)
		switch code := status(http.MethodPost, s.callers, path, body); code {
		case http.StatusOK:
		case http.StatusTooManyRequests:
			require.Equal(t, http.StatusOK, status(http.MethodPost, s.callers, fmt.Sprintf("/press/%016x", 0xbeef0000), body), "a job that is stored is not refused")
			return n
		default:
			require.Failf(t, "unexpected answer", "%d to job %d", code, n)
		}
	}
	return heavyJobs
}

// restartEntry kills the entry and starts it anew with the same settings.
func (s *system) restartEntry(t *testing.T) {
	require.NoError(t, s.entry.Process.Kill())
	<-s.exited
	s.callers, s.readiness, s.metrics, s.peers = freeAddress(t), freeAddress(t), freeAddress(t), freeAddress(t)
	s.startFleetEntry(t)
	s.requireReady(t)
}

// heldBytes returns the metric of the memory for what the entry's owners hold.
func (s *system) heldBytes(t *testing.T) float64 {
	response, err := http.Get("http://" + s.metrics.String() + "/metrics")
	require.NoError(t, err)
	defer response.Body.Close()
	for lines := bufio.NewScanner(response.Body); lines.Scan(); {
		if value, found := strings.CutPrefix(lines.Text(), "bbr_held_bytes "); found {
			held, err := strconv.ParseFloat(value, 64)
			require.NoError(t, err)
			return held
		}
	}
	require.Fail(t, "no such metric")
	return 0
}
