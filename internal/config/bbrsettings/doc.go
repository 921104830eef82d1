// Package bbrsettings is the settings of one entry process: who it is, where
// it listens, and its bounds. They are read from a YAML file at the start and
// checked whole.
package bbrsettings
