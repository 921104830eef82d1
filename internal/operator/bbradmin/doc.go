// Package bbradmin executes operator commands at an entry that runs jobs on the
// platform's fleet. It lists and explains jobs, instances and waves, and stores
// operators' directives on instances (drain, move, resume). Configuration and waves
// are not changed by commands there: operators write them to the platform's store.
package bbradmin
