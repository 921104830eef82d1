package bbrcrash

// Record is the stored record of the suspects of a job. It is a record of its own,
// since builds that do not know it rewrite the progress of a job without it.
type Record struct {
	Suspects []Suspect `json:"suspects"`
}

// Suspect is a work unit of the job with its history and its trial.
type Suspect struct {
	Occurrence int     `json:"occurrence,omitempty"`
	Step       int     `json:"step,omitempty"`
	Index      int     `json:"index,omitempty"`
	Crashes    History `json:"crashes"`
	Trial      *Trial  `json:"trial,omitempty"`
}
