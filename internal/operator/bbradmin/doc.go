// Package bbradmin answers operators' commands at an entry that runs jobs on the
// platform's fleet. It shows and explains what runs where and why, and stores what
// operators ask of instances; configuration and waves are written to the
// platform's store there.
package bbradmin
