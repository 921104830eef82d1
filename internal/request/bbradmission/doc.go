// Package bbradmission decides whether a request may enter an entry: bounds of
// queues, quotas of teams, and whether the work can start before its deadline.
// Declared sizes and times are hints; run times are learned.
package bbradmission
