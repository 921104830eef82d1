package bbrscheduler

import (
	"time"
)

// Note is a decision of the scheduler or a change of what it knows, for the log.
type Note struct {
	At   time.Time
	Text string
	// Fields alternates between keys and values.
	Fields []any
}

// maxNotes bounds the notes kept between two calls of Notes.
const maxNotes = 400

func (sched *Scheduler) note(now time.Time, text string, fields ...any) {
	if len(sched.notes) >= maxNotes {
		sched.notesDropped++
		return
	}
	sched.notes = append(sched.notes, Note{At: now, Text: text, Fields: fields})
}

// Notes returns the notes since the last call and how many were dropped.
func (sched *Scheduler) Notes() ([]Note, int) {
	notes, dropped := sched.notes, sched.notesDropped
	sched.notes, sched.notesDropped = nil, 0
	return notes, dropped
}
