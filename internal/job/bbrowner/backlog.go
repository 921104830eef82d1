package bbrowner

import "time"

// backlogTTL is the age up to which the size of the backlog is reused: each hint's answer
// has it.
const backlogTTL = 100 * time.Millisecond

// backlogSize is the size of the stored backlog as of a time, in bytes.
type backlogSize struct {
	bytes int
	at    time.Time
}

// BacklogBytes returns what a successor has to read of the shard's jobs, in bytes. It
// returns false until the shard is loaded.
func (o *Owner) BacklogBytes(now time.Time) (int, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.scheduler == nil || o.scheduler.Loading() {
		return 0, false
	}
	if o.backlog.at.IsZero() || now.Sub(o.backlog.at) > backlogTTL {
		o.backlog = backlogSize{bytes: o.scheduler.ListedBytes(), at: now}
	}
	return o.backlog.bytes, true
}
