package bbrexperiment

// Trial is the result of one simulated day. It is encoded as JSON under its field
// names.
type Trial struct {
	Site, Day string
	Seed      int64
	// Worth is the value that was earned less the costs, as a share of the value that
	// could be earned.
	Worth float64
	// Served is the share of the requests' value that was earned, and Windows the same
	// share in the worst seconds.
	Served, Windows float64
	// Pools is the cost of the instances that are switched on.
	Pools float64
	// Broken names the rules that were broken. A trial that broke one counts for
	// nothing, whatever its Worth.
	Broken []string
	// Passed reports whether the day passed its gate.
	Passed bool
}

// pairKey identifies the trials that can form a pair.
type pairKey struct {
	site, day string
	seed      int64
}

func (trial *Trial) key() pairKey { return pairKey{site: trial.Site, day: trial.Day, seed: trial.Seed} }
