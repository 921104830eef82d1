package bbrretry

import (
	"time"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrcode"
)

// Failure is how an attempt ended without a usable answer.
type Failure uint8

// Failures of an attempt.
const (
	// ConnectFailed means that no byte was written.
	ConnectFailed Failure = iota + 1
	// ConnectionBroken means that the connection ended after something was written.
	ConnectionBroken
	// TimedOut means that no answer came in time.
	TimedOut
	// TimedOutReused means the same on a connection that had been idle: the
	// path may have been forgotten between the ends.
	TimedOutReused
	// Truncated means that the answer ended early.
	Truncated
	// Mismatched means that the answer belonged to another request.
	Mismatched
	// ServerError means a whole answer with a status of 500 or above.
	ServerError
)

var failureNames = map[Failure]string{
	ConnectFailed:    "connectFailed",
	ConnectionBroken: "broke",
	TimedOut:         "silent",
	TimedOutReused:   "silentReused",
	Truncated:        "truncated",
	Mismatched:       "mismatched",
	ServerError:      "serverError",
}

// String returns the failure's name as it appears in metrics.
func (f Failure) String() string { return failureNames[f] }

// maxAttempts bounds the attempts of one request.
const maxAttempts = 3

// Attempt is a failed attempt with what is needed to judge it.
type Attempt struct {
	// Number counts from 1.
	Number     int
	Failure    Failure
	Idempotent bool
	Deadline   time.Time
}

// Decision is what follows a failed attempt.
type Decision struct {
	Retry bool
	// FinalCode is the final one, should there be no further attempt after all. It
	// is 0 for a server error, whose whole answer goes to the caller as it is.
	FinalCode bbrcode.Code
}

// Decide judges a failed attempt. A non-idempotent request is tried again only
// if nothing of it was written.
func Decide(a Attempt, budget *Budget, now time.Time) Decision {
	safe := a.Idempotent || a.Failure == ConnectFailed
	inTime := a.Number < maxAttempts && now.Before(a.Deadline)
	retry := safe && inTime && budget.Withdraw()
	return Decision{Retry: retry, FinalCode: a.finalCode()}
}

func (a Attempt) finalCode() bbrcode.Code {
	switch a.Failure {
	case ConnectFailed:
		return a.connectFailedCode()
	case ConnectionBroken:
		return bbrcode.UpstreamConnectionLost
	case Truncated:
		return bbrcode.AnswerTruncated
	case Mismatched:
		return bbrcode.AnswerMismatched
	case ServerError:
		return 0
	default:
		return bbrcode.UpstreamTimeout
	}
}

// connectFailedCode is the code of a last attempt that wrote nothing. An earlier
// attempt of an idempotent request may have run all the same.
func (a Attempt) connectFailedCode() bbrcode.Code {
	if a.Idempotent && a.Number > 1 {
		return bbrcode.UpstreamConnectionLost
	}
	return bbrcode.ConnectFailed
}
