package bbrscheduler

import (
	"time"
)

// Note is a decision or a change of belief, for the log.
type Note struct {
	At   time.Time
	Text string
	// Fields alternate between names and values.
	Fields []any
}

// maxNotes bounds the notes between two collections.
const maxNotes = 400

func (l *Scheduler) note(now time.Time, text string, fields ...any) {
	if len(l.notes) >= maxNotes {
		l.notesDropped++
		return
	}
	l.notes = append(l.notes, Note{At: now, Text: text, Fields: fields})
}

// Notes returns the notes since the last call and how many were dropped.
func (l *Scheduler) Notes() ([]Note, int) {
	notes, dropped := l.notes, l.notesDropped
	l.notes, l.notesDropped = nil, 0
	return notes, dropped
}
