package main

import (
	"fmt"
	"os"
	"sort"
	"sync"
	"time"
)

// startRecord is what the minions saw of one start.
type startRecord struct {
	task    string
	run     int
	minion  string
	fence   int64
	at      time.Time
	endedAt time.Time
	how     string
	// noted means that the end was taken note of, and that the lease of the minion had
	// not run out between the end and that.
	noted bool
	// known means that a client sent the work unit.
	known bool
}

// recorder writes the record of a case and keeps the starts.
type recorder struct {
	mu     sync.Mutex
	file   *os.File
	began  time.Time
	starts map[string][]*startRecord
	// quiet leaves the starts and ends out of the file but for those of a violation.
	quiet bool
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{file: file, began: time.Now(), starts: map[string][]*startRecord{}}, nil
}

func (r *recorder) line(format string, args ...any) {
	fmt.Fprintf(r.file, "%9.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

func (r *recorder) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.line(format, args...)
}

func (r *recorder) seconds(t time.Time) float64 { return t.Sub(r.began).Seconds() }

func (r *recorder) started(task string, run int, m *minion, fence int64, known bool) *startRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := &startRecord{task: task, run: run, minion: m.id, fence: fence, at: time.Now(), known: known}
	r.starts[task] = append(r.starts[task], s)
	if !r.quiet {
		r.line("minion %s starts %s run %d for fence %d", m.id, task, run, fence)
	}
	return s
}

func (r *recorder) ended(s *startRecord, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s.endedAt, s.how = time.Now(), how
	if !r.quiet {
		r.line("minion %s: %s run %d ends %s", s.minion, s.task, s.run, how)
	}
}

func (r *recorder) noted(e *end) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e.start.noted = e.start.noted || !e.lapsed
}

// doneUnits counts the work units of a job that have a run that ended done.
func (r *recorder) doneUnits(job string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := 0
	for task, starts := range r.starts {
		if jobOf(task) != job {
			continue
		}
		for _, s := range starts {
			if s.how == "done" {
				count++
				break
			}
		}
	}
	return count
}

// startsOf returns the starts of a job's work units.
func (r *recorder) startsOf(job string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := 0
	for task, starts := range r.starts {
		if jobOf(task) == job {
			count += len(starts)
		}
	}
	return count
}

// firstStart returns when a work unit of the job was first started.
func (r *recorder) firstStart(job string) (time.Time, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var first time.Time
	for task, starts := range r.starts {
		if jobOf(task) == job && (first.IsZero() || starts[0].at.Before(first)) {
			first = starts[0].at
		}
	}
	return first, !first.IsZero()
}

func jobOf(task string) string {
	if len(task) < 16 {
		return task
	}
	return task[:16]
}

// twice returns the violations of the rule TWICE: two runs of one work unit at the same
// time on minions that are up, or a start after a run has ended done if that end is taken
// note of then or later.
func (r *recorder) twice() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []string
	for task, starts := range r.starts {
		for i, later := range starts {
			for _, earlier := range starts[:i] {
				switch {
				case earlier.endedAt.IsZero() || earlier.endedAt.After(later.at):
					found = append(found, fmt.Sprintf("TWICE: %s run %d is started on %s at %.3f while run %d runs on %s since %.3f (until %s)",
						task, later.run, later.minion, r.seconds(later.at), earlier.run, earlier.minion, r.seconds(earlier.at), r.until(earlier)))
				case earlier.how == "done" && earlier.noted:
					found = append(found, fmt.Sprintf("TWICE: %s run %d is started on %s at %.3f after run %d ended done on %s at %.3f, and that end is taken note of",
						task, later.run, later.minion, r.seconds(later.at), earlier.run, earlier.minion, r.seconds(earlier.endedAt)))
				}
			}
		}
	}
	sort.Strings(found)
	return found
}

func (r *recorder) until(s *startRecord) string {
	if s.endedAt.IsZero() {
		return "the end of the case"
	}
	return fmt.Sprintf("%.3f, %s", r.seconds(s.endedAt), s.how)
}

// unasked returns the starts of what no client sent.
func (r *recorder) unasked() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []string
	for task, starts := range r.starts {
		for _, s := range starts {
			if !s.known {
				found = append(found, fmt.Sprintf("UNASKED: %s run %d on %s", task, s.run, s.minion))
			}
		}
	}
	return found
}
