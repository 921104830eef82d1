package bbrretry

import (
	"time"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrcode"
)

// Failure is how an attempt failed to get a usable response.
type Failure uint8

const (
	// ConnectFailed means that no byte of the request was written.
	ConnectFailed Failure = iota + 1
	// ConnectionBroken means that the connection ended after at least one byte
	// of the request was written.
	ConnectionBroken
	// TimedOut means that no complete response came in time.
	TimedOut
	// TimedOutReused means that no complete response came in time on a
	// connection that had been idle. A device on the network path may have
	// dropped its state of the connection.
	TimedOutReused
	// Truncated means that the response ended early.
	Truncated
	// Mismatched means that the response belongs to another request.
	Mismatched
	// ServerError means a complete response with a status of 500 or above.
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

// String returns the name of the failure, as used in metrics.
func (f Failure) String() string { return failureNames[f] }

// maxAttempts bounds the attempts of one request, the first one included.
const maxAttempts = 3

// Attempt describes a failed attempt.
type Attempt struct {
	// Number counts from 1.
	Number     int
	Failure    Failure
	Idempotent bool
	Deadline   time.Time
}

// Decision is what follows a failed attempt.
type Decision struct {
	// Retry permits another attempt, which has been charged to the budget.
	Retry bool
	// FinalCode is the code of the refusal if there is no further attempt,
	// which can be the case even with Retry, for lack of a free slot. It is 0 for
	// a server error: its response goes to the caller unchanged.
	FinalCode bbrcode.Code
}

// Decide returns what follows a failed attempt. A non-idempotent request is
// retried only if no byte of it was written.
func Decide(a Attempt, budget *Budget, now time.Time) Decision {
	safe := a.Idempotent || a.Failure == ConnectFailed
	inTime := a.Number < maxAttempts && now.Before(a.Deadline)
	retry := safe && inTime && budget.Withdraw()
	return Decision{Retry: retry, FinalCode: a.finalCode()}
}

// finalCode returns the code of the refusal if the attempt is the last one.
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

// connectFailedCode returns the code for a last attempt that wrote nothing. An
// earlier attempt of an idempotent request may have run, so that the code must
// not say that the request did not.
func (a Attempt) connectFailedCode() bbrcode.Code {
	if a.Idempotent && a.Number > 1 {
		return bbrcode.UpstreamConnectionLost
	}
	return bbrcode.ConnectFailed
}
