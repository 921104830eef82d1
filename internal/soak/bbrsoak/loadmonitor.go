package bbrsoak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrclaim"
	"github.com/bluebellridge/bluebellridge/internal/standin/bbrfleet"
)

// takeoverLimit is how long a claim may be held without the shard being loaded.
const takeoverLimit = 10 * time.Second

// claimID identifies a claim of a shard. Its token is the revision of the claim.
type claimID struct {
	shard string
	token int64
}

// loadMonitor reports shards that an entry has claimed and does not load.
type loadMonitor struct {
	soak      *Soak
	loads     loads
	lastCheck time.Time
	// unloadedSince is when each claim was first seen without a loaded shard.
	unloadedSince map[claimID]time.Time
	reported      map[claimID]bool
}

func newLoadMonitor(s *Soak) *loadMonitor {
	return &loadMonitor{soak: s, unloadedSince: make(map[claimID]time.Time), reported: make(map[claimID]bool)}
}

// run checks periodically until ctx ends.
func (m *loadMonitor) run(ctx context.Context) {
	checkRegularly(ctx, checkInterval, func() {
		claims := m.soak.fleet.List(bbrclaim.ClaimKey(""))
		m.loads.readLogs(m.soak)
		m.check(claims, m.loads.started, time.Now())
	})
}

// check compares the claims in the store with the loads that ended. Time in which the
// soak test itself was delayed does not count.
func (m *loadMonitor) check(claims []bbrfleet.Item, started map[claimID]bool, now time.Time) {
	gap := now.Sub(m.lastCheck)
	m.lastCheck = now
	unloaded := make(map[claimID]time.Time)
	for _, item := range claims {
		id := claimID{shard: strings.TrimPrefix(item.Key, bbrclaim.ClaimKey("")), token: item.Revision}
		if id.shard == bbrclaim.LeadershipName || started[id] {
			continue
		}
		since, seen := m.unloadedSince[id]
		if !seen {
			since = now
		} else if gap > maxCheckGap {
			since = since.Add(gap)
		}
		unloaded[id] = since
		if now.Sub(since) > takeoverLimit && !m.reported[id] {
			m.reported[id] = true
			m.soak.callers.reportFault("%s shard %s is claimed by %s under token %d for %v and is not loaded", now.Format(clockFormat), id.shard, holder(item), id.token, takeoverLimit)
		}
	}
	m.unloadedSince = unloaded
}

// holder returns the name of the entry that holds a claim.
func holder(claim bbrfleet.Item) string {
	var value struct {
		Entry string `json:"entry"`
	}
	if json.Unmarshal(claim.Value, &value) != nil {
		return "an unknown entry"
	}
	return value.Entry
}

// loads is what the entries logged about loading shards. Its zero value is empty.
type loads struct {
	started map[claimID]bool
	// maxJobs is the largest number of jobs of a loaded shard, and maxTook the longest time
	// that a load took.
	maxJobs int
	maxTook time.Duration
	// failed is the number of attempts that failed.
	failed int
	// read is how much of the log of each entry was read.
	read map[string]int64
}

// startedPattern matches the line with which an owner has all jobs of its shard. Earlier
// builds started only then.
var startedPattern = regexp.MustCompile(`"(?:Shard loaded|Owner started)" shard="([^"]*)" token=(\d+) .*?jobs=(\d+) .*?took="([^"]*)"`)

const failedText = `"Failed to load the stored state of the shard`

// readLogs adds what the entries have logged since the last call.
func (l *loads) readLogs(s *Soak) {
	if l.started == nil {
		l.started, l.read = make(map[claimID]bool), make(map[string]int64)
	}
	for _, e := range s.entries {
		l.readLog(filepath.Join(s.WorkDir, e.name+".log"))
	}
}

// readLog adds the complete lines that a log has since the last call.
func (l *loads) readLog(name string) {
	file, err := os.Open(name)
	if err != nil {
		return
	}
	defer file.Close()
	offset := l.read[name]
	data, err := io.ReadAll(io.NewSectionReader(file, offset, math.MaxInt64-offset))
	if err != nil {
		return
	}
	data = data[:bytes.LastIndexByte(data, '\n')+1]
	l.read[name] = offset + int64(len(data))
	l.add(string(data))
}

// add adds what lines of a log have about loading shards.
func (l *loads) add(log string) {
	l.failed += strings.Count(log, failedText)
	for _, match := range startedPattern.FindAllStringSubmatch(log, -1) {
		token, _ := strconv.ParseInt(match[2], 10, 64)
		jobs, _ := strconv.Atoi(match[3])
		took, _ := time.ParseDuration(match[4])
		l.started[claimID{shard: match[1], token: token}] = true
		l.maxJobs, l.maxTook = max(l.maxJobs, jobs), max(l.maxTook, took)
	}
}

// String implements fmt.Stringer.
func (l *loads) String() string {
	return fmt.Sprintf("owners started %d, with up to %d jobs, within %v; failed attempts to load %d", len(l.started), l.maxJobs, l.maxTook, l.failed)
}
