package bbrinterference

import (
	"encoding/json"
	"math"
	"time"
)

// Record has the found pairs of a shard as they are stored, at most maxFound.
type Record struct {
	Pairs []StoredPair `json:"pairs"`
	At    time.Time    `json:"at"`
}

// StoredPair is a found pair as it is stored.
type StoredPair struct {
	Affected  string `json:"affected"`
	Neighbour string `json:"neighbour"`
	// Effect is the mean logarithm of the slowdown, and Weight the inverse of its variance
	// for a variance of the observations of 1.
	Effect       float64   `json:"effect"`
	Weight       float64   `json:"weight"`
	Squares      float64   `json:"squares"`
	Observations float64   `json:"observations"`
	Contrast     float64   `json:"contrast"`
	FoundAt      time.Time `json:"foundAt"`
}

// storedState is what the last stored record has.
type storedState struct {
	pairs []StoredPair
	at    time.Time
}

const (
	// storeInterval is the minimum time between two records.
	storeInterval = 5 * time.Second
	// storedDifference is the change of an effect from which a record is stored again, and
	// storedGrowth the factor by which the evidence exceeds what a successor would be left
	// with of the stored evidence.
	storedDifference = 0.1
	storedGrowth     = 1.5
)

// RecordToStore returns the record if it differs noticeably from the stored one and the
// stored one is old enough.
func (t *Tracker) RecordToStore(now time.Time) (Record, bool) {
	if now.Sub(t.stored.at) < storeInterval {
		return Record{}, false
	}
	changed := len(t.found) != len(t.stored.pairs)
	for n := 0; n < len(t.found) && !changed; n++ {
		changed = t.differs(t.found[n], t.stored.pairs[n], now)
	}
	if !changed {
		return Record{}, false
	}
	return t.Record(now), true
}

func (t *Tracker) differs(key pairKey, stored StoredPair, now time.Time) bool {
	p := t.pairs[key]
	p.fade(now)
	left := stored.Contrast * math.Exp(-now.Sub(t.stored.at).Seconds()/evidenceSpan.Seconds())
	return t.images[key.affected].name != stored.Affected || t.images[key.neighbour].name != stored.Neighbour ||
		math.Abs(p.effect()-stored.Effect) > storedDifference || p.contrast > storedGrowth*left
}

// Record returns the found pairs.
func (t *Tracker) Record(now time.Time) Record {
	record := Record{Pairs: make([]StoredPair, 0, len(t.found)), At: now}
	for _, key := range t.found {
		p := t.pairs[key]
		record.Pairs = append(record.Pairs, StoredPair{
			Affected: t.images[key.affected].name, Neighbour: t.images[key.neighbour].name,
			Effect: p.effect(), Weight: p.weight, Squares: p.squares, Observations: p.observations, Contrast: p.contrast, FoundAt: p.foundAt,
		})
	}
	return record
}

// RecordStored records that a record was stored.
func (t *Tracker) RecordStored(record Record) {
	t.stored = storedState{pairs: record.Pairs, at: record.At}
}

// Restore adds the pairs of an earlier owner's record to a Tracker without evidence. It
// leaves the Tracker unchanged if the record cannot be decoded. A pair with impossible
// values is left out.
func (t *Tracker) Restore(data []byte, now time.Time) error {
	var record Record
	if err := json.Unmarshal(data, &record); err != nil {
		return err
	}
	for _, stored := range record.Pairs[:min(len(record.Pairs), maxFound)] {
		if !stored.valid() {
			continue
		}
		key := pairKey{t.admit(stored.Affected, now), t.admit(stored.Neighbour, now)}
		if key.affected == 0 || key.neighbour == 0 || t.pairs[key] != nil {
			continue
		}
		p := &pair{
			bucket:  bucket{weight: stored.Weight, product: stored.Effect * stored.Weight},
			squares: stored.Squares, observations: stored.Observations, contrast: stored.Contrast,
			at: minTime(record.At, now), found: true, foundAt: stored.FoundAt,
		}
		p.fade(now)
		if p.remains() {
			t.pairs[key] = p
			t.found = append(t.found, key)
		}
	}
	t.updateConflicts()
	t.stored = storedState{pairs: t.Record(now).Pairs, at: now}
	return nil
}

// maxStoredAmount bounds the sums of a stored pair, which are far smaller.
const maxStoredAmount = 1e9

func (s StoredPair) valid() bool {
	for _, amount := range [...]float64{s.Weight, s.Squares, s.Observations, s.Contrast} {
		if amount < 0 || amount > maxStoredAmount {
			return false
		}
	}
	return math.Abs(s.Effect) < maxStoredEffect
}

// maxStoredEffect bounds a stored effect: a slowdown by a factor of over 20,000.
const maxStoredEffect = 10

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
