package bbrwork

import (
	"strconv"
	"strings"
)

// Unit identifies a work unit.
type Unit struct {
	Job        string
	Occurrence int
	Step       int
	// Index numbers the work units of the step from 0.
	Index int
}

// String returns the work unit's name in calls to upstreams, which ParseUnit parses.
func (u Unit) String() string {
	name := make([]byte, 0, len(u.Job)+16)
	name = append(name, u.Job...)
	for _, part := range [...]int{u.Occurrence, u.Step, u.Index} {
		name = append(name, '.')
		name = strconv.AppendInt(name, int64(part), 10)
	}
	return string(name)
}

// StepName returns the name of the work unit's step in calls to the advice service.
func (u Unit) StepName() string {
	return u.Job + "." + strconv.Itoa(u.Occurrence) + "." + strconv.Itoa(u.Step)
}

// ParseUnit parses a work unit's name and reports whether it is one.
func ParseUnit(name string) (Unit, bool) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return Unit{}, false
	}
	unit := Unit{Job: parts[0]}
	for i, part := range [...]*int{&unit.Occurrence, &unit.Step, &unit.Index} {
		value, err := strconv.Atoi(parts[i+1])
		if err != nil || value < 0 {
			return Unit{}, false
		}
		*part = value
	}
	return unit, true
}
