package bbrsoak

import "fmt"

const (
	// mainKey is the key of the organisation of most callers, which has no cap.
	mainKey = "soak-main-key"
	// limitedKey is the key of the organisation of the callers of small jobs whose
	// organisation has a cap.
	limitedKey = "soak-limited-key"
	// limitedUnits is how many small work units the cap lets run at the same time.
	limitedUnits = 16
	// limitedCallers is the number of callers of the organisation with the cap.
	limitedCallers = 1
)

// rotatedKey returns a key that only one version of the configuration has.
func rotatedKey(version int) string { return fmt.Sprintf("soak-rotated-key-%d", version) }

// encodeOrganisations returns the organisations of a version of the configuration.
func encodeOrganisations(version int) string {
	return fmt.Sprintf(`[{"name":"main","api_keys":[%q,%q],"weight":100},{"name":"limited","api_keys":[%q],"weight":10,"cap":{"cpu":%d}}]`,
		mainKey, rotatedKey(version), limitedKey, limitedUnits*smallMilliCPU)
}
