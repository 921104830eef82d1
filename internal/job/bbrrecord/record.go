package bbrrecord

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrledger"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// Prefixes of the store's keys.
const (
	// JobPrefix is before the jobs that have not ended.
	JobPrefix = "bbr/job/"
	// EndedPrefix is before the short records of jobs that have.
	EndedPrefix = "bbr/ended/"
	// CancelPrefix is before the demands to cancel a job.
	CancelPrefix = "bbr/cancel/"
	// SequencePrefix is before what the owners write with each transaction.
	SequencePrefix = "bbr/sequence/"
	progressPrefix = "bbr/progress/"
	livesPrefix    = "bbr/lives/"
)

// JobKey returns the key of a job that has not ended.
func JobKey(id string) string { return JobPrefix + id }

// EndedKey returns the key of an ended job's record.
func EndedKey(id string) string { return EndedPrefix + id }

// CancelKey returns the key of a demand to cancel a job.
func CancelKey(id string) string { return CancelPrefix + id }

// ProgressPrefix returns the prefix of the progress of a service's jobs.
func ProgressPrefix(service string) string { return progressPrefix + service + "/" }

// ProgressKey returns the key of a job's progress.
func ProgressKey(service, id string) string { return ProgressPrefix(service) + id }

// SequenceKey returns the key that every transaction of a service's owner
// writes, so that one whose answer was lost cannot be carried out after a later
// one.
func SequenceKey(service string) string { return SequencePrefix + service }

// LivesKey returns the key of the lives on which the service's work may run.
func LivesKey(service string) string { return livesPrefix + service }

// Ended is the record of a job that has ended. It never changes.
type Ended struct {
	State bbrwork.State `json:"state"`
	Queue string        `json:"queue"`
	// At is the owner's time of day at the end.
	At time.Time `json:"at"`
}

// Sequence is what the owner writes with each transaction.
type Sequence struct {
	Token  int64 `json:"token"`
	Number int64 `json:"number"`
	// Waiting counts the jobs, by queue, for which nothing has started, as of At
	// by the owner's time of day.
	Waiting map[string]int `json:"waiting,omitempty"`
	At      time.Time      `json:"at"`
	// Cleared has the reserved upstreams on which nothing runs.
	Cleared []string `json:"cleared,omitempty"`
	// Demand is what the service asks of the fleet.
	Demand bbrledger.Demand `json:"demand"`
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
