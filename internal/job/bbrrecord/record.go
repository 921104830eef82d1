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

// Prefixes of keys in the store.
const (
	// StatusPrefix is the prefix of the statuses of all jobs, by job ID.
	StatusPrefix = "bbr/status/"
	// JobPrefix is the prefix of the jobs that have not ended, by shard and job ID.
	JobPrefix = "bbr/job/"
	// CancelPrefix is the prefix of the cancellation requests, by shard and job ID.
	CancelPrefix = "bbr/cancel/"
	// ReportPrefix is the prefix of the owners' reports, by shard.
	ReportPrefix       = "bbr/report/"
	sequencePrefix     = "bbr/sequence/"
	progressPrefix     = "bbr/progress/"
	incarnationsPrefix = "bbr/lives/"
)

// StatusKey returns the key of a job's status.
func StatusKey(id string) string { return StatusPrefix + id }

// JobPrefixOf returns the prefix of a shard's jobs that have not ended.
func JobPrefixOf(shard bbrwork.Shard) string { return JobPrefix + shard.String() + "/" }

// JobKey returns the key of a job that has not ended.
func JobKey(shard bbrwork.Shard, id string) string { return JobPrefixOf(shard) + id }

// CancelPrefixOf returns the prefix of the cancellation requests for a shard's jobs.
func CancelPrefixOf(shard bbrwork.Shard) string { return CancelPrefix + shard.String() + "/" }

// CancelKey returns the key of the cancellation request for a job.
func CancelKey(shard bbrwork.Shard, id string) string { return CancelPrefixOf(shard) + id }

// ProgressPrefixOf returns the prefix of the progress of a shard's jobs.
func ProgressPrefixOf(shard bbrwork.Shard) string { return progressPrefix + shard.String() + "/" }

// ProgressKey returns the key of a job's progress.
func ProgressKey(shard bbrwork.Shard, id string) string { return ProgressPrefixOf(shard) + id }

// SequenceKey returns the key of the sequence record of a shard. Every transaction of
// the shard's owner writes it, on the condition that it has not changed since the
// owner's last one: a transaction whose answer was lost cannot take effect after a
// later one.
func SequenceKey(shard bbrwork.Shard) string { return sequencePrefix + shard.String() }

// ReportKey returns the key of the report of a shard's owner.
func ReportKey(shard bbrwork.Shard) string { return ReportPrefix + shard.String() }

// ReportPrefixOf returns the prefix of the reports of the owners of a service's shards.
func ReportPrefixOf(service string) string {
	return ReportPrefix + strings.TrimSuffix(bbrwork.Shard{Service: service}.String(), "0")
}

// IncarnationsKey returns the key of the upstreams, each in one incarnation, on which
// work of the shard may run.
func IncarnationsKey(shard bbrwork.Shard) string { return incarnationsPrefix + shard.String() }

// JobID returns the job ID at the end of the key of a job's record.
func JobID(key string) string { return key[strings.LastIndexByte(key, '/')+1:] }

// Status is the short record of a job, which remains after the job's end. Until the
// end it has the shard that runs the job; afterwards it never changes.
type Status struct {
	// State is empty until the job has ended.
	State bbrwork.State `json:"state,omitempty"`
	Queue string        `json:"queue"`
	// Service and Cell identify the job's shard.
	Service string `json:"service"`
	Cell    int    `json:"cell,omitempty"`
	// At is when the job ended, by the clock of its owner; before that, when it was
	// accepted, by the clock of the accepting entry.
	At time.Time `json:"at"`
}

// StatusOf returns the status of a job that has not ended.
func StatusOf(job *bbrwork.Job) Status {
	return Status{Queue: job.Queue, Service: job.Service, Cell: job.Cell, At: job.Accepted}
}

// Ended returns the status of the job after it has ended in the state.
func (s Status) Ended(state bbrwork.State, now time.Time) Status {
	s.State, s.At = state, now
	return s
}

// Shard returns the shard that runs the job.
func (s Status) Shard() bbrwork.Shard { return bbrwork.Shard{Service: s.Service, Cell: s.Cell} }

// Sequence is the record that an owner writes with each of its transactions.
type Sequence struct {
	// Token is the fencing token of the owner.
	Token int64 `json:"token"`
	// Number numbers the transactions of the owner.
	Number int64 `json:"number"`
	// Horizon bounds the revisions of the jobs that this owner and earlier ones may
	// have started; 0 means that they may have started any job.
	Horizon bbrkv.Revision `json:"horizon,omitempty"`
}

// Report is the report that an owner stores about its shard from time to time.
type Report struct {
	// Waiting counts the jobs of which nothing has started, by queue, as of At by the
	// owner's clock.
	Waiting map[string]int `json:"waiting,omitempty"`
	At      time.Time      `json:"at"`
	// Drained has the IDs of the reserved upstreams on which nothing runs.
	Drained []string `json:"cleared,omitempty"`
	// Demand is the capacity that the shard requests from the fleet.
	Demand bbrscheduler.Demand `json:"demand"`
}

// Number formats a number as part of a key.
func Number(n int64) string { return strconv.FormatInt(n, 10) }

// Encode returns the record's value in the store.
func Encode(record any) []byte {
	data, err := json.Marshal(record)
	if err != nil {
		panic(err) // All types in records can be encoded.
	}
	return data
}
