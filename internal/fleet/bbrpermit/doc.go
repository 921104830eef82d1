// Package bbrpermit implements the permit registry, which enforces the availability
// budgets of services. It records the instances of all zones that are out of service,
// planned (with a permit) or unplanned (lost). The registry is a single document in
// the platform's store and a permit is acquired by a compare-and-swap on it, so that
// zones that cannot reach each other never exceed a budget together.
package bbrpermit
