package bbrcode

import (
	"net/http"
	"slices"
	"time"
)

// Code is a numbered result. Numbers are never reused, and the thousands of a number
// are the group of its code.
type Code uint16

// Codes of callers' requests that ran.
const (
	Ran            Code = 1000
	Replayed       Code = 1001
	AnswerTooLarge Code = 1002
	AnswerNotKept  Code = 1003
)

// Codes of callers' requests that did not run.
const (
	QueueFull         Code = 2001
	QuotaExceeded     Code = 2002
	DeadlineTooShort  Code = 2003
	NeverFits         Code = 2004
	UnknownQueue      Code = 2005
	BodyTooLarge      Code = 2006
	BadRequest        Code = 2007
	NoUpstream        Code = 2008
	ShuttingDown      Code = 2009
	NotReady          Code = 2010
	Fenced            Code = 2011
	TimedOutInQueue   Code = 2012
	ConnectFailed     Code = 2013
	Cancelled         Code = 2014
	ClaimUnavailable  Code = 2015
	KeyBusy           Code = 2016
	KeyReused         Code = 2017
	PeerUnreachable   Code = 2018
	BodyIncomplete    Code = 2019
	TooManyKeys       Code = 2020
	TooManyInProgress Code = 2021
	BadJob            Code = 2022
	StoreUnavailable  Code = 2023
	TooLateToServe    Code = 2024
	UnknownJob        Code = 2025
	KeyMissing        Code = 2026
	KeyUnknown        Code = 2027
	ForeignJob        Code = 2028
	BeyondShare       Code = 2029
	TooManyBytes      Code = 2030
	HeaderTooLarge    Code = 2031
	BacklogFull       Code = 2032
	MemoryFull        Code = 2033
	JobTooLarge       Code = 2034
	CancelledBefore   Code = 2035
	TooManyUnknown    Code = 2036
)

// Codes of jobs.
const (
	Accepted      Code = 6000
	AlreadyStored Code = 6001
	StateReported Code = 6002
	CancelStored  Code = 6003
	// CrashesUpstreams is the code of a job that has ended, in its record and the log.
	CrashesUpstreams Code = 6004
)

// Codes of callers' requests that may or may not have run.
const (
	UpstreamTimeout        Code = 3001
	UpstreamConnectionLost Code = 3002
	AnswerTruncated        Code = 3003
	AnswerMismatched       Code = 3004
	StreamAborted          Code = 3005
	HolderGone             Code = 3006
	HolderUnreachable      Code = 3007
	PeerLost               Code = 3008
	CallerLeft             Code = 3009
	StoreWriteUnknown      Code = 3010
)

// Codes of operators' commands.
const (
	Done                Code = 4000
	Syntax              Code = 4001
	UnknownInstance     Code = 4002
	UnknownName         Code = 4003
	Conflict            Code = 4004
	StoredNotInForce    Code = 4005
	BudgetExhausted     Code = 4006
	WrongState          Code = 4007
	Unauthorized        Code = 4008
	PlatformUnavailable Code = 4009
	WriteUnknown        Code = 4010
	InvalidConfig       Code = 4011
	Frozen              Code = 4012
	ZoneUnreachable     Code = 4013
	DryRun              Code = 4014
	HeatLimit           Code = 4015
)

// Codes of settings.
const (
	SettingsSyntax  Code = 5001
	SettingsUnknown Code = 5002
	SettingsInvalid Code = 5003
	SettingsMissing Code = 5004
)

// Info describes a code.
type Info struct {
	Code    Code
	Name    string
	Outcome Outcome
	// Status is the HTTP status of an answer with this code.
	Status int
	// RetryAfter is how long a caller should wait before a retry; zero means that
	// a retry does not help.
	RetryAfter time.Duration
	// Text explains the code to callers and operators.
	Text string
}

const (
	retrySoon  = time.Second
	retryLater = 5 * time.Second
)

var table = map[Code]Info{
	Ran:      {Name: "ran", Outcome: OutcomeRan, Status: http.StatusOK, Text: "The upstream's complete response follows."},
	Replayed: {Name: "replayed", Outcome: OutcomeRan, Status: http.StatusOK, Text: "The request ran before; its stored response follows."},

	AnswerTooLarge: {Name: "answerTooLarge", Outcome: OutcomeRan, Status: 502, Text: "The request ran; its response is too large to pass between entries."},
	AnswerNotKept:  {Name: "answerNotKept", Outcome: OutcomeRan, Status: 410, Text: "The request ran before; its response is no longer stored."},

	QueueFull:         {Name: "queueFull", Status: 503, RetryAfter: retrySoon, Text: "The queue is full."},
	QuotaExceeded:     {Name: "quotaExceeded", Status: 429, RetryAfter: retrySoon, Text: "The team has used its quota."},
	DeadlineTooShort:  {Name: "deadlineTooShort", Status: 503, RetryAfter: retrySoon, Text: "The work cannot start before the caller's deadline."},
	NeverFits:         {Name: "neverFits", Status: 422, Text: "The work is larger than any instance of the pool."},
	UnknownQueue:      {Name: "unknownQueue", Status: 404, Text: "No queue has this name."},
	BodyTooLarge:      {Name: "bodyTooLarge", Status: 413, Text: "The request body exceeds the size limit."},
	BadRequest:        {Name: "badRequest", Status: 400, Text: "A header of the request is invalid."},
	NoUpstream:        {Name: "noUpstream", Status: 503, RetryAfter: retryLater, Text: "No instance of the pool can take work now."},
	ShuttingDown:      {Name: "shuttingDown", Status: 503, RetryAfter: retrySoon, Text: "This entry is shutting down; retry to reach another one."},
	NotReady:          {Name: "notReady", Status: 503, RetryAfter: retrySoon, Text: "This entry has no view or configuration yet."},
	Fenced:            {Name: "fenced", Status: 503, RetryAfter: retryLater, Text: "This entry cannot confirm its registration and may not send."},
	TimedOutInQueue:   {Name: "timedOutInQueue", Status: 503, RetryAfter: retrySoon, Text: "The deadline passed while the request was queued."},
	ConnectFailed:     {Name: "connectFailed", Status: 502, RetryAfter: retrySoon, Text: "No connection to an upstream could be established; nothing was sent."},
	Cancelled:         {Name: "cancelled", Status: 499, Text: "The caller disconnected while the request was queued."},
	ClaimUnavailable:  {Name: "claimUnavailable", Status: 503, RetryAfter: retryLater, Text: "The idempotency key cannot be claimed in the platform now; a ticket needs no claim."},
	KeyBusy:           {Name: "keyBusy", Status: 409, RetryAfter: retrySoon, Text: "A request with this key is in progress; this one was not run."},
	KeyReused:         {Name: "keyReused", Status: 422, Text: "The key belongs to a different request."},
	PeerUnreachable:   {Name: "peerUnreachable", Status: 503, RetryAfter: retrySoon, Text: "No entry that could place the request is reachable."},
	BodyIncomplete:    {Name: "bodyIncomplete", Status: 400, Text: "The request body ended early."},
	TooManyKeys:       {Name: "tooManyKeys", Status: 503, RetryAfter: retryLater, Text: "This entry stores its maximum number of idempotency keys."},
	TooManyInProgress: {Name: "tooManyInProgress", Status: 503, RetryAfter: retrySoon, Text: "This entry has its maximum number of requests in progress."},

	BadJob:           {Name: "badJob", Status: 400, Text: "The submitted job is malformed or exceeds a limit."},
	StoreUnavailable: {Name: "storeAway", Status: 503, RetryAfter: retrySoon, Text: "The platform's store is unavailable; nothing was stored."},
	TooLateToServe:   {Name: "tooLateToServe", Status: 429, RetryAfter: retrySoon, Text: "With the pool's present work the job would complete too late; nothing was stored."},
	UnknownJob:       {Name: "unknownJob", Status: 410, Text: "No job with this ID is stored."},
	KeyMissing:       {Name: "keyMissing", Status: 401, Text: "The queue needs a key of an organisation, and the request has none."},
	KeyUnknown:       {Name: "keyUnknown", Status: 401, Text: "The key belongs to no organisation."},
	ForeignJob:       {Name: "foreignJob", Status: 403, Text: "The job belongs to another organisation."},
	BeyondShare:      {Name: "beyondShare", Status: 429, RetryAfter: retrySoon, Text: "The organisation's earlier jobs need its fair share for so long that the job would complete too late; nothing was stored. Retry-After says when they will be done."},
	TooManyBytes:     {Name: "tooManyBytes", Status: 503, RetryAfter: retrySoon, Text: "This entry holds as many bytes of requests as its memory allows."},
	HeaderTooLarge:   {Name: "headerTooLarge", Status: 431, Text: "The request has too many header fields."},
	BacklogFull:      {Name: "backlogFull", Status: 429, RetryAfter: retryLater, Text: "As many jobs wait in this part of the pool as any entry could take over in time; nothing was stored."},
	MemoryFull:       {Name: "memoryFull", Status: 429, RetryAfter: retryLater, Text: "The jobs that have not ended need as much memory as any entry has for them; nothing was stored."},
	JobTooLarge:      {Name: "jobTooLarge", Status: 422, Text: "The work units that the job may have at the same time need more memory than an entry has for jobs; nothing was stored."},
	CancelledBefore:  {Name: "cancelledBefore", Status: 503, Text: "This ID was cancelled before a job with it was stored; the job was not accepted and never runs. Submit it under another ID."},
	TooManyUnknown:   {Name: "tooManyUnknown", Status: 503, RetryAfter: retrySoon, Text: "Too many IDs without a job are cancelled; this one was not. A submission that is on its way may still be accepted."},

	Accepted:      {Name: "accepted", Outcome: OutcomeUnknown, Status: 200, Text: "The job is stored and will run."},
	AlreadyStored: {Name: "alreadyStored", Outcome: OutcomeUnknown, Status: 200, Text: "The job was already stored."},
	StateReported: {Name: "stateTold", Outcome: OutcomeUnknown, Status: 200, Text: "The state follows."},
	CancelStored:  {Name: "cancelStored", Outcome: OutcomeUnknown, Status: 200, Text: "The cancellation is stored."},

	CrashesUpstreams: {Name: "crashesUpstreams", Outcome: OutcomeUnknown, Status: 200, Text: "The job was given up, since upstreams crashed under one of its work units."},

	StoreWriteUnknown: {Name: "storeUnsettled", Status: 504, RetryAfter: retrySoon, Text: "The store did not confirm whether the change was made; query or submit again with the same ID."},

	UpstreamTimeout:        {Name: "upstreamSilent", Status: 504, Text: "The upstream did not answer before the deadline."},
	UpstreamConnectionLost: {Name: "upstreamBroke", Status: 502, Text: "The connection to the upstream broke after the request was sent."},
	AnswerTruncated:        {Name: "answerTruncated", Status: 502, Text: "The upstream's response ended early and was discarded."},
	AnswerMismatched:       {Name: "answerMismatched", Status: 502, Text: "The response belonged to another request and was discarded."},
	StreamAborted:          {Name: "streamAborted", Status: 502, Text: "A streamed response broke off; the caller's connection was aborted."},
	HolderGone:             {Name: "holderGone", Status: 409, Text: "The entry that held this key is gone; the request will not run again."},
	HolderUnreachable:      {Name: "holderUnreachable", Status: 503, RetryAfter: retryLater, Text: "The entry that holds this key cannot be reached; this attempt did not run, an earlier one may have."},
	PeerLost:               {Name: "peerLost", Status: 502, Text: "The entry that placed the request stopped answering."},
	CallerLeft:             {Name: "callerLeft", Status: 499, Text: "The caller disconnected while the request ran."},

	Done:                {Name: "done", Status: 200, Text: "The command is in force."},
	Syntax:              {Name: "syntax", Status: 400, Text: "The command cannot be parsed."},
	UnknownInstance:     {Name: "unknownInstance", Status: 404, Text: "No instance has this name."},
	UnknownName:         {Name: "unknownName", Status: 404, Text: "No pool, queue, service, team, wave or entry has this name."},
	Conflict:            {Name: "conflict", Status: 409, RetryAfter: retrySoon, Text: "Another operator changed the same object first."},
	StoredNotInForce:    {Name: "storedNotInForce", Status: 202, RetryAfter: retrySoon, Text: "The change is stored, and not yet in force everywhere."},
	BudgetExhausted:     {Name: "budgetExhausted", Status: 409, RetryAfter: retryLater, Text: "The service's availability budget is exhausted."},
	WrongState:          {Name: "wrongState", Status: 409, Text: "The command does not apply in the present state."},
	Unauthorized:        {Name: "unauthorized", Status: 401, Text: "The operators' token is missing or wrong."},
	PlatformUnavailable: {Name: "platformUnavailable", Status: 503, RetryAfter: retryLater, Text: "The platform's service does not answer; nothing was changed."},
	WriteUnknown:        {Name: "writeUnknown", Status: 503, RetryAfter: retryLater, Text: "The platform's response was lost; repeat the command with the same operation."},
	InvalidConfig:       {Name: "invalidConfig", Status: 422, Text: "The configuration would not be valid."},
	Frozen:              {Name: "frozen", Status: 409, RetryAfter: retryLater, Text: "An entry has not acknowledged the restriction and is not known to have terminated."},
	ZoneUnreachable:     {Name: "zoneUnreachable", Status: 503, RetryAfter: retryLater, Text: "No entry of the instance's availability zone is reachable."},
	DryRun:              {Name: "dryRun", Status: 200, Text: "The command would be accepted; nothing was changed."},

	HeatLimit: {Name: "heatLimit", Status: 409, RetryAfter: retryLater, Text: "The zone has as many active instances as its heat limit allows."},

	SettingsSyntax:  {Name: "settingsSyntax", Status: 400, Text: "The settings are not valid YAML."},
	SettingsUnknown: {Name: "settingsUnknown", Status: 400, Text: "The settings have an unknown or duplicate field."},
	SettingsInvalid: {Name: "settingsInvalid", Status: 400, Text: "A field is outside its allowed range."},
	SettingsMissing: {Name: "settingsMissing", Status: 400, Text: "A required field is missing."},
}

// Info returns the description of the code. An unlisted code is described as
// an unknown outcome with status 500.
func (c Code) Info() Info {
	info, ok := table[c]
	if !ok {
		return Info{Code: c, Name: "unlisted", Status: http.StatusInternalServerError}
	}
	info.Code = c
	if c >= 2000 && c < 3000 {
		info.Outcome = OutcomeNotRun
	}
	return info
}

// String returns the code's name.
func (c Code) String() string { return c.Info().Name }

// All returns every code in ascending order.
func All() []Info {
	infos := make([]Info, 0, len(table))
	for code := range table {
		infos = append(infos, code.Info())
	}
	slices.SortFunc(infos, func(a, b Info) int { return int(a.Code) - int(b.Code) })
	return infos
}
