// Package bbrmember maintains an entry's membership of its zone: it follows the
// zone's view and the configuration in the platform, registers the entry, has its
// registration confirmed, and falls back to other entries while the platform is
// unavailable.
package bbrmember
