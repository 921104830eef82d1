package bbrsoak

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const (
	// memoryMB is the memory of an entry, in megabytes. An entry that exceeds it is killed, as on
	// the platform.
	memoryMB = 128
	// memoryInterval is the time between two looks at the memory of an entry, and memoryRestart the
	// time until it is started again after it was killed.
	memoryInterval = 100 * time.Millisecond
	memoryRestart  = 500 * time.Millisecond
)

// memoryMonitor kills an entry that exceeds its memory, and reports it.
type memoryMonitor struct{ entry *entry }

// run checks periodically until ctx ends.
func (m *memoryMonitor) run(ctx context.Context) { checkRegularly(ctx, memoryInterval, m.check) }

func (m *memoryMonitor) check() {
	process, _ := m.entry.currentProcess()
	if process == nil {
		return
	}
	if used := residentMB(process.Pid); used > memoryMB {
		m.entry.soak.callers.reportFault("entry %s uses %d MB of memory, more than %d MB", m.entry.name, used, memoryMB)
		m.entry.restart(syscall.SIGKILL, memoryRestart)
	}
}

// residentMB returns the resident memory of a process, in megabytes; 0 if it has ended.
func residentMB(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	_, rest, _ := bytes.Cut(data, []byte("VmRSS:"))
	line, _, _ := bytes.Cut(rest, []byte("kB"))
	kilobytes, err := strconv.Atoi(strings.TrimSpace(string(line)))
	if err != nil {
		return 0
	}
	return kilobytes >> 10
}

const (
	// scheduleCount is the number of jobs that repeat often, and schedulePause the time between two
	// of them.
	scheduleCount = 20
	schedulePause = 300 * time.Millisecond
	// scheduleRepeats is how often each of them repeats, once a minute and the first time in
	// scheduleDelay: long after the end of the run.
	scheduleRepeats = 86_400
	scheduleDelay   = 24 * time.Hour
	// schedulePart is the part of the run for their random numbers.
	schedulePart = 2
)

// scheduleCaller hands in jobs that repeat for months. None of their work is due.
type scheduleCaller struct{ soak *Soak }

// run hands the jobs in, at any entry, until ctx ends.
func (c *scheduleCaller) run(ctx context.Context) {
	random := c.soak.random(schedulePart)
	body := fmt.Appendf(nil, `{"spec":"x","steps":[{"count":1,"cpu":100,"mem_mb":100,"estimate_ms":1000}],"run_count":%d,"initial_delay_ms":%d,"interval_ms":60000}`,
		scheduleRepeats, time.Now().Add(scheduleDelay).UnixMilli())
	for n := range scheduleCount {
		at := c.soak.entries[random.IntN(len(c.soak.entries))]
		// Some are lost in faults.
		c.soak.callers.send(ctx, http.MethodPost, at, fmt.Sprintf("/%s/%016x", pools[n%len(pools)], random.Uint64()), mainKey, body)
		select {
		case <-ctx.Done():
			return
		case <-time.After(schedulePause):
		}
	}
}
