package bbrcode

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// Error is a refusal or failure with its code and place.
type Error struct {
	Code Code
	// Place names where the fault is: a field with line and column, a header,
	// an instance. It may be empty.
	Place  string
	Detail string
}

// Errorf returns an Error with a formatted detail.
func Errorf(code Code, place, format string, args ...any) *Error {
	return &Error{Code: code, Place: place, Detail: fmt.Sprintf(format, args...)}
}

// Error implements error.
func (e *Error) Error() string {
	info := e.Code.Info()
	text := fmt.Sprintf("%d %s", e.Code, info.Name)
	if e.Place != "" {
		text += " at " + e.Place
	}
	if e.Detail != "" {
		return text + ": " + e.Detail
	}
	return text + ": " + info.Text
}

// From returns the code of err, or fallback where err carries none.
func From(err error, fallback Code) Code {
	var coded *Error
	if errors.As(err, &coded) {
		return coded.Code
	}
	return fallback
}
