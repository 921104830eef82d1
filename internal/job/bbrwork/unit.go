package bbrwork

import (
	"strconv"
	"strings"
)

// Unit names one work unit.
type Unit struct {
	Job        string
	Occurrence int
	Step       int
	Index      int
}

// String returns the name by which upstreams know the work unit.
func (u Unit) String() string {
	name := make([]byte, 0, len(u.Job)+16)
	name = append(name, u.Job...)
	for _, part := range [...]int{u.Occurrence, u.Step, u.Index} {
		name = append(name, '.')
		name = strconv.AppendInt(name, int64(part), 10)
	}
	return string(name)
}

// StepName returns the name of the work unit's step, as the advice service
// knows it.
func (u Unit) StepName() string {
	return u.Job + "." + strconv.Itoa(u.Occurrence) + "." + strconv.Itoa(u.Step)
}

// ParseUnit reads a work unit's name.
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
