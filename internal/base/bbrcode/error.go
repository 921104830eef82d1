package bbrcode

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// Error is a refusal or failure with its result code.
type Error struct {
	Code Code
	// Place is where the fault is: a field with line and column, a header, or an
	// instance. It may be empty.
	Place string
	// Detail replaces the text of the code if it is not empty.
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

// From returns the code of the Error in the chain of err, or fallback if there is
// none.
func From(err error, fallback Code) Code {
	var coded *Error
	if errors.As(err, &coded) {
		return coded.Code
	}
	return fallback
}
