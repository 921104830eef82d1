// Package bbrmachine defines the platform's instances, the calls that list, move and
// maintain them, and the operators' directives for them.
package bbrmachine
