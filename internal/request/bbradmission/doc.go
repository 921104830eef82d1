// Package bbradmission decides whether an entry accepts a request. It enforces the
// bounds of queues and the quotas of teams, and refuses requests that are not
// expected to start before their deadline. Sizes and times that callers declare
// are hints only; run times are observed.
package bbradmission
