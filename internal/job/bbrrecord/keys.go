package bbrrecord

import (
	"net/url"
	"strconv"
	"strings"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
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
	ReportPrefix = "bbr/report/"
	// SharesPrefix is the prefix of the shards' shares of caps, by organisation.
	SharesPrefix = "bbr/shares/"
	// InterferencePrefix is the prefix of the images that slow each other down, by shard.
	InterferencePrefix = "bbr/interference/"
	sequencePrefix     = "bbr/sequence/"
	crashesPrefix      = "bbr/crashes/"
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

// CrashesPrefixOf returns the prefix of the crash records of a shard's jobs.
func CrashesPrefixOf(shard bbrwork.Shard) string { return crashesPrefix + shard.String() + "/" }

// CrashesKey returns the key of a job's crash record.
func CrashesKey(shard bbrwork.Shard, id string) string { return CrashesPrefixOf(shard) + id }

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

// InterferenceKey returns the key of the images that slow each other down on the shard's
// upstreams. Its value is a bbrinterference.Record.
func InterferenceKey(shard bbrwork.Shard) string { return InterferencePrefix + shard.String() }

// SharesKey returns the key of the shards' shares of an organisation's cap.
func SharesKey(organisation string) string { return SharesPrefix + url.PathEscape(organisation) }

// OrganisationOf returns the organisation that SharesKey was called with.
func OrganisationOf(sharesKey string) (string, error) {
	return url.PathUnescape(strings.TrimPrefix(sharesKey, SharesPrefix))
}

// JobID returns the job ID at the end of the key of a job's record.
func JobID(key string) string { return key[strings.LastIndexByte(key, '/')+1:] }

// Number formats a number as part of a key.
func Number(n int64) string { return strconv.FormatInt(n, 10) }
