package bbrticket

import (
	"container/list"
	"crypto/sha256"
	"strconv"
	"sync"
	"time"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrcode"
	"github.com/bluebellridge/bluebellridge/internal/request/bbranswer"
	"github.com/bluebellridge/bluebellridge/internal/request/bbrjob"
)

// Fingerprint identifies the content of a request, so that a key cannot be reused
// for a different request.
type Fingerprint [sha256.Size]byte

// FingerprintOf returns the fingerprint of a request: of its queue, method, URI
// and body.
func FingerprintOf(job *bbrjob.Job) Fingerprint {
	digest := sha256.New()
	for _, part := range []string{job.Queue, job.Method, job.RequestURI, strconv.Itoa(len(job.Body))} {
		digest.Write([]byte(part))
		digest.Write([]byte{0})
	}
	digest.Write(job.Body)
	return Fingerprint(digest.Sum(nil))
}

// state is whether a key may be run.
type state uint8

const (
	// ready keys may be run: either they have not been used yet, or their
	// request was refused without being run.
	ready state = iota
	running
	// finished keys may have run and never run again.
	finished
)

// record is the state of one key.
type record struct {
	key         string
	state       state
	fingerprint Fingerprint
	// hasFingerprint is set once the key has been begun.
	hasFingerprint bool
	// answer is the kept answer of a finished key, or nil.
	answer *bbranswer.Answer
	// lastUsed is when the key was registered or last begun.
	lastUsed time.Time
	// element is the record's place in Table.evictionOrder.
	element *list.Element
}

// Table is the set of keys that one process holds. It is safe for concurrent use.
type Table struct {
	// MaxKeys bounds the number of records, and MaxAnswerBytes the size of the
	// answers kept for replay, in bytes of their bodies.
	MaxKeys        int
	MaxAnswerBytes int64
	// UnusedTTL is how long a key that was not run is protected from eviction.
	UnusedTTL time.Duration

	// mu guards the fields below.
	mu      sync.Mutex
	records map[string]*record
	// answerBytes is the size of the kept answers.
	answerBytes int64
	// evictionOrder lists all records in the order in which they are considered
	// for eviction: by when they were registered or, once finished, by when they
	// finished.
	evictionOrder list.List
}

// Register adds a key that may be run at this process: a ticket that was issued,
// or a key whose claim this process has won. It is called once for each key. It
// returns TooManyKeys if the table is full and no record can be evicted.
func (t *Table) Register(key string, now time.Time) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.records == nil {
		t.records = make(map[string]*record)
	}
	if _, ok := t.records[key]; ok {
		return nil
	}
	if len(t.records) >= t.MaxKeys && !t.evictOldest(now) {
		return bbrcode.Errorf(bbrcode.TooManyKeys, key, "the entry holds %d keys, and none can be evicted", len(t.records))
	}
	r := &record{key: key, state: ready, lastUsed: now}
	r.element = t.evictionOrder.PushBack(r)
	t.records[key] = r
	return nil
}

// evictOldest removes the first record in eviction order that is finished, or
// that has been ready for UnusedTTL. It reports whether there was one. The
// caller holds mu.
func (t *Table) evictOldest(now time.Time) bool {
	for element := t.evictionOrder.Front(); element != nil; element = element.Next() {
		r := element.Value.(*record)
		unused := r.state == ready && now.Sub(r.lastUsed) >= t.UnusedTTL
		if r.state != finished && !unused {
			continue
		}
		t.dropAnswer(r)
		t.evictionOrder.Remove(element)
		delete(t.records, r.key)
		return true
	}
	return false
}

// dropAnswer forgets the answer of a record, if it has one. The caller holds mu.
func (t *Table) dropAnswer(r *record) {
	if r.answer == nil {
		return
	}
	t.answerBytes -= int64(len(r.answer.Body))
	r.answer = nil
}

// Begin starts the run of a key. If it returns nil, the caller has the exclusive
// right to run the request, and must call Finish afterwards. Otherwise the
// request must not be run, and the result is its answer.
func (t *Table) Begin(key string, fingerprint Fingerprint, now time.Time) *bbranswer.Answer {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.records[key]
	if !ok {
		return bbranswer.Refuse(bbrcode.HolderGone, key, "the holder has no record of the key any more")
	}
	if r.hasFingerprint && r.fingerprint != fingerprint {
		return bbranswer.Refuse(bbrcode.KeyReused, key, "queue, method, URI or body differs from the first request with the key")
	}
	switch r.state {
	case running:
		return bbranswer.Refuse(bbrcode.KeyBusy, key, "")
	case finished:
		return r.replay()
	}
	r.state = running
	r.fingerprint = fingerprint
	r.hasFingerprint = true
	r.lastUsed = now
	return nil
}

// replay returns the kept answer of a finished key, or a refusal if the answer
// was not kept.
func (r *record) replay() *bbranswer.Answer {
	if r.answer == nil {
		return bbranswer.Refuse(bbrcode.AnswerNotKept, r.key, "")
	}
	copied := *r.answer
	if copied.Code == bbrcode.Ran {
		copied.Code = bbrcode.Replayed
	}
	return &copied
}

// Finish ends the run of a key with the answer of its request. If the answer says
// that the request did not run, the key may be begun again. Otherwise it never
// runs again.
func (t *Table) Finish(key string, answer *bbranswer.Answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[key]
	if answer.Outcome() == bbrcode.OutcomeNotRun {
		r.state = ready
		return
	}
	r.state = finished
	t.evictionOrder.MoveToBack(r.element)
	t.keepAnswer(r, answer)
}

// keepAnswer keeps the answer for replay, and drops the answers of the oldest
// records while the total exceeds MaxAnswerBytes. A streamed answer cannot be
// kept. The caller holds mu.
func (t *Table) keepAnswer(r *record, answer *bbranswer.Answer) {
	size := int64(len(answer.Body))
	if answer.Rest != nil || size > t.MaxAnswerBytes {
		return
	}
	copied := *answer
	r.answer = &copied
	t.answerBytes += size
	for element := t.evictionOrder.Front(); element != nil && t.answerBytes > t.MaxAnswerBytes; element = element.Next() {
		t.dropAnswer(element.Value.(*record))
	}
}

// Len returns the number of keys held.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.records)
}
