// Package bbrmember keeps an entry a member of its zone: it follows the zone's
// view and the configuration in the platform, registers the entry, has its
// registration confirmed, and falls back on other entries while the platform
// is away.
package bbrmember
