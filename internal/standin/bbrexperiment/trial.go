package bbrexperiment

// Trial is one day, played once.
type Trial struct {
	Site, Day string
	Seed      int64
	// Worth is what the day earned, less its prices, as a share of what it could.
	Worth float64
	// Served is the share of the requests' worth that was earned, and Windows that
	// of the worst seconds.
	Served, Windows float64
	// Pools is the price of instances that are on.
	Pools float64
	// Broken names the rules that were broken; a play that broke one counts for
	// nothing, whatever its worth.
	Broken []string
	// Passed tells whether the day passed its gate.
	Passed bool
}

// pairKey is what two plays of a pair share.
type pairKey struct {
	site, day string
	seed      int64
}

func (trial *Trial) key() pairKey { return pairKey{site: trial.Site, day: trial.Day, seed: trial.Seed} }
