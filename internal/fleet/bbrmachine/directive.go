package bbrmachine

import (
	"encoding/json"
	"time"
)

// Directive is an operator's instruction for an instance. It applies until the instance is
// resumed.
type Directive struct {
	// Pool is the pool that the instance is pinned to, or empty if it is drained.
	Pool string `json:"pool,omitempty"`
	// Reason is the operator's free-text reason.
	Reason string    `json:"reason,omitempty"`
	Since  time.Time `json:"since"`
}

// Drained reports whether the instance must not take work.
func (d Directive) Drained() bool { return d.Pool == "" }

// Directives maps instance IDs to directives.
type Directives map[string]Directive

// ParseDirectives decodes stored directives. An empty value yields none.
func ParseDirectives(value []byte) (Directives, error) {
	directives := make(Directives)
	if len(value) == 0 {
		return directives, nil
	}
	return directives, json.Unmarshal(value, &directives)
}
