// Package bbrdesk answers operators' commands at an entry that runs jobs on the
// platform's fleet. It only shows and explains: configuration, waves and
// instances are the platform's to change there.
package bbrdesk
