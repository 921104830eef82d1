// Package bbrmachine has the calls that move instances and take them away for
// maintenance.
package bbrmachine
