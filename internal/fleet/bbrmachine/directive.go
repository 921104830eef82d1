package bbrmachine

import (
	"encoding/json"
	"time"
)

// Directive is what operators ask of an instance until they resume it.
type Directive struct {
	// Pool is where the instance has to stay; empty where it is drained.
	Pool string `json:"pool,omitempty"`
	// Reason is the operators' own word.
	Reason string    `json:"reason,omitempty"`
	Since  time.Time `json:"since"`
}

// Drained tells whether the instance takes no work.
func (d Directive) Drained() bool { return d.Pool == "" }

// Directives are by instance.
type Directives map[string]Directive

// ParseDirectives reads stored directives; no value has none.
func ParseDirectives(value []byte) (Directives, error) {
	directives := make(Directives)
	if len(value) == 0 {
		return directives, nil
	}
	return directives, json.Unmarshal(value, &directives)
}
