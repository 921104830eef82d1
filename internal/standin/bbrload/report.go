package bbrload

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"gonum.org/v1/gonum/stat"
)

// Outcome is the result of one job as its caller saw it. It is encoded as JSON under
// its field names.
type Outcome struct {
	Class, Job string
	// At is the time of the first submission, from the start of the load.
	At time.Duration
	// Refused counts the submissions that were refused, and Lost those without a
	// response.
	Refused, Lost int
	Accepted      bool
	// State is the state in which the job ended; empty if it did not end in time.
	State string
	// Took is the time from the first submission to the end; 0 if the job was not
	// accepted.
	Took time.Duration
}

// Report has the outcomes of a load. It is encoded as JSON under its field names.
type Report struct {
	// Name identifies the report in tables and plots.
	Name     string
	Seed     uint64
	Outcomes []Outcome
	// Waste is the wasted work of the upstreams; nil if it was not queried.
	Waste *Waste `json:",omitempty"`
}

// Waste is the wasted work of the upstreams.
type Waste struct {
	// Again counts the starts beyond the first of each work unit. TakenAway counts
	// the runs that a planned move or maintenance ended.
	Again, TakenAway int
	// Faults describes the violations of the execution guarantees.
	Faults []string
}

// Summary summarizes the outcomes of one class or of all classes.
type Summary struct {
	Jobs, Accepted, Refusals, Lost           int
	Completed, Failed, Cancelled, Unfinished int
	// Median, P95 and Slowest are times from the first submission to completion, over
	// the completed jobs.
	Median, P95, Slowest time.Duration
}

// AllEnded reports whether every job was accepted and ended.
func (s Summary) AllEnded() bool { return s.Completed+s.Failed+s.Cancelled == s.Jobs }

// Summarize returns the summary of a class, or of all classes if class is empty.
func (r *Report) Summarize(class string) Summary {
	var s Summary
	for _, o := range r.Outcomes {
		if class == "" || o.Class == class {
			s.add(o)
		}
	}
	times := r.CompletionSeconds(class)
	if len(times) > 0 {
		s.Median, s.P95, s.Slowest = quantile(times, 0.5), quantile(times, 0.95), quantile(times, 1)
	}
	return s
}

func (s *Summary) add(o Outcome) {
	s.Jobs++
	s.Refusals += o.Refused
	s.Lost += o.Lost
	if o.Accepted {
		s.Accepted++
	}
	switch o.State {
	case "completed":
		s.Completed++
	case "failed":
		s.Failed++
	case "cancelled":
		s.Cancelled++
	default:
		s.Unfinished++
	}
}

// CompletionSeconds returns the times to completion, in seconds and ascending, of the
// completed jobs of a class, or of all classes if class is empty.
func (r *Report) CompletionSeconds(class string) []float64 {
	var times []float64
	for _, o := range r.Outcomes {
		if o.State == "completed" && (class == "" || o.Class == class) {
			times = append(times, o.Took.Seconds())
		}
	}
	slices.Sort(times)
	return times
}

func quantile(sorted []float64, share float64) time.Duration {
	seconds := stat.Quantile(share, stat.Empirical, sorted, nil)
	return time.Duration(seconds * float64(time.Second)).Round(time.Millisecond)
}

// Classes returns the names of the classes, sorted.
func (r *Report) Classes() []string {
	names := make(map[string]bool)
	for _, o := range r.Outcomes {
		names[o.Class] = true
	}
	return slices.Sorted(maps.Keys(names))
}

// Table writes a table with a row for each class of each report and one for all
// classes, and then the wasted work of each report that has it.
func Table(out io.Writer, reports ...*Report) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "report\tclass\tjobs\taccepted\trefusals\tno answer\tcompleted\tfailed\tcancelled\tunfinished\tmedian\tp95\tslowest\t")
	for _, r := range reports {
		for _, class := range append(r.Classes(), "") {
			s := r.Summarize(class)
			if class == "" {
				class = "all"
			}
			fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%v\t%v\t%v\t\n", r.Name, class, s.Jobs, s.Accepted, s.Refusals, s.Lost,
				s.Completed, s.Failed, s.Cancelled, s.Unfinished, s.Median, s.P95, s.Slowest)
		}
	}
	if err := w.Flush(); err != nil {
		return err
	}
	for _, r := range reports {
		if r.Waste != nil {
			fmt.Fprintf(out, "%s: %d repeated starts, %d runs ended by planned work, faults: %v\n", r.Name, r.Waste.Again, r.Waste.TakenAway, r.Waste.Faults)
		}
	}
	return nil
}
