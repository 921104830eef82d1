package bbrrecord

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrcode"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrscheduler"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrtransfer"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
	"github.com/bluebellridge/bluebellridge/internal/store/bbrkv"
)

// Status is the short record of a job, which remains after the job's end. Until the
// end it has the shard that runs the job; afterwards it never changes.
type Status struct {
	// State is empty until the job has ended.
	State bbrwork.State `json:"state,omitempty"`
	Queue string        `json:"queue"`
	// Service and Cell identify the job's shard.
	Service string `json:"service"`
	Cell    int    `json:"cell,omitempty"`
	// Organisation is the organisation that submitted the job; it may be empty.
	Organisation string `json:"organisation,omitempty"`
	// At is when the job ended, by the clock of its owner; before that, when it was
	// accepted, by the clock of the accepting entry.
	At time.Time `json:"at"`
	// Code says why the job ended; 0 if State says it.
	Code bbrcode.Code `json:"code,omitempty"`
	// CancelledBy has the organisations that cancelled the ID although no job was stored under it;
	// "" stands for callers of public queues. If there are any, there is no job: the record keeps a
	// submission that is still on its way from being stored. Earlier versions take it for a cancelled
	// job of Organisation, which is the first of them.
	CancelledBy []string `json:"cancelledBy,omitempty"`
}

// CancelledUnknown returns the record for an ID without a job that an organisation has cancelled.
func CancelledUnknown(queue, service, organisation string, now time.Time) Status {
	return Status{State: bbrwork.Cancelled, Queue: queue, Service: service, Organisation: organisation, At: now, CancelledBy: []string{organisation}}
}

// IsJob reports whether the record is that of a job.
func (s Status) IsJob() bool { return len(s.CancelledBy) == 0 }

// IsCancelledBy reports whether the organisation has cancelled the ID although there was no job.
func (s Status) IsCancelledBy(organisation string) bool {
	return slices.Contains(s.CancelledBy, organisation)
}

// AlsoCancelledBy returns the record after another organisation has cancelled the ID as well.
func (s Status) AlsoCancelledBy(organisation string, now time.Time) Status {
	s.CancelledBy, s.At = append(slices.Clone(s.CancelledBy), organisation), now
	return s
}

// StatusOf returns the status of a job that has not ended.
func StatusOf(job *bbrwork.Job) Status {
	return Status{Queue: job.Queue, Service: job.Service, Cell: job.Cell, Organisation: job.Organisation, At: job.Accepted}
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
	// OrdersStored means that the progress of the jobs has the highest run number that
	// this owner and earlier ones may have ordered of each long-running work unit. An
	// owner of an earlier version leaves it out.
	OrdersStored bool `json:"ordersStored,omitempty"`
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
	// BacklogBytes is what a successor of the owner has to read of the shard's jobs. It is 0
	// if that is unknown, as in reports of earlier builds.
	BacklogBytes int `json:"backlogBytes,omitempty"`
	// HeldBytes estimates the memory that an owner needs for the shard's jobs whatever is due. It is
	// 0 if that is unknown, as in reports of earlier builds.
	HeldBytes int `json:"heldBytes,omitempty"`
	// Beyond has organisations that are beyond their share of the shard. It is
	// information for operators: a change of it alone causes no report.
	Beyond []bbrscheduler.OrganisationShare `json:"beyond,omitempty"`
	// Offer is what the shard can take from other cells of the service; nil if there are
	// none. An owner of an earlier version leaves it out and gets no jobs of other cells.
	Offer *bbrtransfer.Offer `json:"offer,omitempty"`
}

// EncodeJob returns the job's value in the store. It returns an error if the job has a
// value that cannot be encoded, such as a time after the year 9999.
func EncodeJob(job *bbrwork.Job) ([]byte, error) { return json.Marshal(job) }

// Encode returns the record's value in the store. Jobs are encoded with EncodeJob, as
// their values come from callers.
func Encode(record any) []byte {
	data, err := json.Marshal(record)
	if err != nil {
		panic(err) // Unreachable: the entry itself sets all values of records.
	}
	return data
}
