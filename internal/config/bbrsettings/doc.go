// Package bbrsettings defines the settings of an entry process: its identity, the
// addresses that it listens on, and its limits. They are read from a YAML file at
// startup and validated as a whole.
package bbrsettings
