package bbrledger

import (
	"time"
)

// strays notes a run whose job the ledger does not know: it has ended, or was
// accepted a moment ago and is not known yet.
func (l *Ledger) stray(up *upstream, key runKey, now time.Time) {
	if up.strays == nil {
		up.strays = make(map[runKey]time.Time)
	}
	if _, ok := up.strays[key]; !ok {
		up.strays[key] = now
	}
}
