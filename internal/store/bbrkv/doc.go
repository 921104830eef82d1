// Package bbrkv has the calls of the platform's store as the project needs
// them, and follows the items under a prefix.
package bbrkv
