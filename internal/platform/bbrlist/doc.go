// Package bbrlist reads the platform's list of instances and starts reboots. The
// list lags behind the instances: it is a hint, and safety must not depend on it.
package bbrlist
