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

// Outcome is what the caller of one job got.
type Outcome struct {
	Class, Job string
	// At is when the job was first submitted, from the load's beginning.
	At time.Duration
	// Refused counts the refusals, and Lost the attempts without an answer.
	Refused, Lost int
	Accepted      bool
	// State is the one in which the job ended; empty for none in time.
	State string
	// Took is from the first submission to the end; 0 where it was not accepted.
	Took time.Duration
}

// Report is what callers got.
type Report struct {
	// Name tells reports apart.
	Name     string
	Seed     uint64
	Outcomes []Outcome
	// Waste is what the upstreams did beside; nil where nobody asked them.
	Waste *Waste `json:",omitempty"`
}

// Waste is what upstreams did that brought nothing.
type Waste struct {
	// Again counts the starts beyond one a work unit, TakenAway the runs that
	// planned work ended.
	Again, TakenAway int
	// Faults name broken promises.
	Faults []string
}

// Summary is the outcomes of a class, or of all.
type Summary struct {
	Jobs, Accepted, Refusals, Lost           int
	Completed, Failed, Cancelled, Unfinished int
	// Times to the state completed.
	Median, P95, Slowest time.Duration
}

// AllEnded tells whether each job was accepted and ended.
func (s Summary) AllEnded() bool { return s.Completed+s.Failed+s.Cancelled == s.Jobs }

// Summarize returns the summary of a class; of all with an empty name.
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

// CompletionSeconds returns the seconds to completion of a class in ascending order; of all
// with an empty name.
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

// Classes returns the names of the classes in order.
func (r *Report) Classes() []string {
	names := make(map[string]bool)
	for _, o := range r.Outcomes {
		names[o.Class] = true
	}
	return slices.Sorted(maps.Keys(names))
}

// Table writes one row a class for each report.
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
			fmt.Fprintf(out, "%s: %d starts again, %d runs ended by planned work, faults: %v\n", r.Name, r.Waste.Again, r.Waste.TakenAway, r.Waste.Faults)
		}
	}
	return nil
}
