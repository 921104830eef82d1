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

// Fingerprint identifies the content of a request, so that a key cannot be used for
// another one.
type Fingerprint [sha256.Size]byte

// FingerprintOf returns the print of a request.
func FingerprintOf(job *bbrjob.Job) Fingerprint {
	digest := sha256.New()
	for _, part := range []string{job.Queue, job.Method, job.RequestURI, strconv.Itoa(len(job.Body))} {
		digest.Write([]byte(part))
		digest.Write([]byte{0})
	}
	digest.Write(job.Body)
	return Fingerprint(digest.Sum(nil))
}

type state uint8

const (
	// ready keys may be run: they were issued or claimed, or an attempt ended
	// without anything being sent.
	ready state = iota
	running
	// finished keys never run again.
	finished
)

type record struct {
	key            string
	state          state
	fingerprint    Fingerprint
	hasFingerprint bool
	answer         *bbranswer.Answer
	lastUsed       time.Time
	element        *list.Element
}

// Table is the set of keys that one process holds.
type Table struct {
	// MaxKeys bounds the records, and MaxAnswerBytes the kept answers.
	MaxKeys        int
	MaxAnswerBytes int64
	// UnusedTTL is how long an unused key is kept.
	UnusedTTL time.Duration

	mu          sync.Mutex
	records     map[string]*record
	answerBytes int64
	// evictionOrder lists the records that may be forgotten, oldest first.
	evictionOrder list.List
}

// Register makes a key runnable at this process. It is called once for a key: when
// it is issued, or when its claim has been won. It returns TooManyKeys where
// no record can be forgotten to make room.
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
		return bbrcode.Errorf(bbrcode.TooManyKeys, key, "%d keys are held", len(t.records))
	}
	r := &record{key: key, state: ready, lastUsed: now}
	r.element = t.evictionOrder.PushBack(r)
	t.records[key] = r
	return nil
}

// evictOldest drops the oldest record that is finished or was not used in
// time. The caller holds mu.
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

func (t *Table) dropAnswer(r *record) {
	if r.answer == nil {
		return
	}
	t.answerBytes -= int64(len(r.answer.Body))
	r.answer = nil
}

// Begin starts the run of a key. A nil answer means that the caller, and only
// it, may run the request and must then call Finish. Any other answer is
// final for this attempt.
func (t *Table) Begin(key string, fingerprint Fingerprint, now time.Time) *bbranswer.Answer {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.records[key]
	if !ok {
		return bbranswer.Refuse(bbrcode.HolderGone, key, "the key's record is gone")
	}
	if r.hasFingerprint && r.fingerprint != fingerprint {
		return bbranswer.Refuse(bbrcode.KeyReused, key, "queue, method, path or body differ from the first request")
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

// Finish ends the run of a key. A request that did not run may be begun again;
// any other one never runs again.
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

// keepAnswer stores the answer and forgets the oldest ones above the bound. An
// answer that is streamed cannot be kept.
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

// Len returns how many keys are held.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.records)
}
