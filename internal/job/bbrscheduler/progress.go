package bbrscheduler

import (
	"encoding/json"
	"time"
)

// Progress is the stored progress of a job.
type Progress struct {
	Occurrences map[int][]StepProgress `json:"occurrences"`
}

// StepProgress is the progress of one step in one occurrence.
type StepProgress struct {
	// Done has one bit for each work unit.
	Done []byte `json:"done,omitempty"`
	// FailedRuns has, by work unit, the numbers of the failed runs.
	FailedRuns map[int][]int `json:"failed,omitempty"`
	// LastRuns has, by work unit, the highest known run number.
	LastRuns    map[int]int    `json:"last,omitempty"`
	Checkpoints map[int]string `json:"checkpoints,omitempty"`
}

func (j *job) progress() []byte {
	if j.finalState != "" {
		return nil
	}
	progress := Progress{Occurrences: make(map[int][]StepProgress)}
	for _, o := range j.occurrences {
		var steps []StepProgress
		for _, s := range o.steps {
			steps = append(steps, s.progress())
		}
		progress.Occurrences[o.number] = steps
	}
	data, err := json.Marshal(progress)
	if err != nil {
		panic(err) // Unreachable: maps, slices and numbers can always be encoded.
	}
	return data
}

func (s *step) progress() StepProgress {
	p := StepProgress{FailedRuns: make(map[int][]int), LastRuns: make(map[int]int), Checkpoints: make(map[int]string)}
	for i, u := range s.units {
		if u.done {
			if p.Done == nil {
				p.Done = make([]byte, (len(s.units)+7)/8)
			}
			p.Done[i/8] |= 1 << (i % 8)
			continue
		}
		if u.lastRun > 0 {
			p.LastRuns[i] = u.lastRun
		}
		if len(u.failedRuns) > 0 {
			p.FailedRuns[i] = u.failedRuns
		}
		if u.checkpoint != "" {
			p.Checkpoints[i] = u.checkpoint
		}
	}
	return p
}

func (j *job) restore(stored *Progress, now time.Time) {
	for number, steps := range stored.Occurrences {
		if number >= len(j.occurrences) || len(steps) != len(j.Steps) {
			continue
		}
		for i, s := range j.occurrences[number].steps {
			s.restore(&steps[i], now)
		}
	}
}

func (s *step) restore(stored *StepProgress, now time.Time) {
	for i, u := range s.units {
		u.failedRuns = stored.FailedRuns[i]
		u.lastRun = stored.LastRuns[i]
		u.checkpoint = stored.Checkpoints[i]
		if i/8 < len(stored.Done) && stored.Done[i/8]&(1<<(i%8)) != 0 {
			u.markDone()
			u.freedAt = now
			s.job.started = true
		}
	}
}
