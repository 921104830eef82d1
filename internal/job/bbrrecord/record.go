package bbrrecord

import (
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrscheduler"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
	"github.com/bluebellridge/bluebellridge/internal/store/bbrkv"
)

// Prefixes of the store's keys.
const (
	// StatusPrefix is before the short records of all jobs, by their ID.
	StatusPrefix = "bbr/status/"
	// JobPrefix is before the jobs that have not ended, by shard.
	JobPrefix = "bbr/job/"
	// CancelPrefix is before the demands to cancel a job, by shard.
	CancelPrefix = "bbr/cancel/"
	// ReportPrefix is before what the owners tell of their shards.
	ReportPrefix   = "bbr/report/"
	sequencePrefix = "bbr/sequence/"
	progressPrefix = "bbr/progress/"
	livesPrefix    = "bbr/lives/"
)

// StatusKey returns the key of a job's short record.
func StatusKey(id string) string { return StatusPrefix + id }

// JobPrefixOf returns the prefix of a shard's jobs that have not ended.
func JobPrefixOf(shard bbrwork.Shard) string { return JobPrefix + shard.String() + "/" }

// JobKey returns the key of a job that has not ended.
func JobKey(shard bbrwork.Shard, id string) string { return JobPrefixOf(shard) + id }

// CancelPrefixOf returns the prefix of the demands to cancel a shard's jobs.
func CancelPrefixOf(shard bbrwork.Shard) string { return CancelPrefix + shard.String() + "/" }

// CancelKey returns the key of a demand to cancel a job.
func CancelKey(shard bbrwork.Shard, id string) string { return CancelPrefixOf(shard) + id }

// ProgressPrefixOf returns the prefix of the progress of a shard's jobs.
func ProgressPrefixOf(shard bbrwork.Shard) string { return progressPrefix + shard.String() + "/" }

// ProgressKey returns the key of a job's progress.
func ProgressKey(shard bbrwork.Shard, id string) string { return ProgressPrefixOf(shard) + id }

// SequenceKey returns the key that every transaction of a shard's owner writes,
// so that one whose answer was lost cannot be carried out after a later one.
func SequenceKey(shard bbrwork.Shard) string { return sequencePrefix + shard.String() }

// ReportKey returns the key of what a shard's owner tells.
func ReportKey(shard bbrwork.Shard) string { return ReportPrefix + shard.String() }

// ReportPrefixOf returns the prefix of what the owners of a service's shards tell.
func ReportPrefixOf(service string) string {
	return ReportPrefix + strings.TrimSuffix(bbrwork.Shard{Service: service}.String(), "0")
}

// IncarnationsKey returns the key of the lives on which the shard's work may run.
func IncarnationsKey(shard bbrwork.Shard) string { return livesPrefix + shard.String() }

// JobID returns the ID that a key of a job's record ends with.
func JobID(key string) string { return key[strings.LastIndexByte(key, '/')+1:] }

// Status is the short record of a job. It tells who runs the job until it ends,
// and never changes afterwards.
type Status struct {
	// State is empty until the job has ended.
	State bbrwork.State `json:"state,omitempty"`
	Queue string        `json:"queue"`
	// Service and Cell are the job's shard.
	Service string `json:"service"`
	Cell    int    `json:"cell,omitempty"`
	// At is the owner's time of day at the end, or the accepting entry's before.
	At time.Time `json:"at"`
}

// StatusOf returns the status of a job that has not ended.
func StatusOf(job *bbrwork.Job) Status {
	return Status{Queue: job.Queue, Service: job.Service, Cell: job.Cell, At: job.Accepted}
}

// Ended returns the status of the job once it has ended.
func (s Status) Ended(state bbrwork.State, now time.Time) Status {
	s.State, s.At = state, now
	return s
}

// Shard returns the shard that runs the job.
func (s Status) Shard() bbrwork.Shard { return bbrwork.Shard{Service: s.Service, Cell: s.Cell} }

// Sequence is what the owner writes with each transaction.
type Sequence struct {
	Token  int64 `json:"token"`
	Number int64 `json:"number"`
	// Horizon bounds the revisions of the jobs that owners until now may have
	// begun; 0 allows any.
	Horizon bbrkv.Revision `json:"horizon,omitempty"`
}

// Report is what an owner tells of its shard from time to time.
type Report struct {
	// Waiting counts the jobs, by queue, for which nothing has started, as of At
	// by the owner's time of day.
	Waiting map[string]int `json:"waiting,omitempty"`
	At      time.Time      `json:"at"`
	// Drained has the reserved upstreams on which nothing runs.
	Drained []string `json:"cleared,omitempty"`
	// Demand is what the shard asks of the fleet.
	Demand bbrscheduler.Demand `json:"demand"`
}

// Number returns a number as part of a key.
func Number(n int64) string { return strconv.FormatInt(n, 10) }

// Encode returns the value of a record.
func Encode(record any) []byte {
	data, err := json.Marshal(record)
	if err != nil {
		panic(err) // The records have only types that can be encoded.
	}
	return data
}
