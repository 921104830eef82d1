package bbrprogram

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bluebellridge/bluebellridge/internal/standin/bbrfleet"
	"github.com/bluebellridge/bluebellridge/internal/standin/bbrload"
)

// callers has the flags that the commands submitting jobs share.
type callers struct {
	Entry   []netip.AddrPort `help:"Callers' addresses of entries." required:""`
	Host    string           `help:"Host of the queues." required:""`
	Timeout time.Duration    `help:"How long to wait for a job's end." default:"60s"`
	Seed    uint64           `help:"Seed of the jobs and of the entries asked." default:"1"`
}

type jobsCommand struct {
	callers
	Prefix string        `help:"Path before a job's ID." required:""`
	Jobs   int           `help:"How many jobs." default:"20"`
	Pause  time.Duration `help:"Mean time between two submissions." default:"50ms"`
	Units  int           `help:"Work units in each of a job's two steps." default:"3"`
	Work   time.Duration `help:"How long a work unit takes." default:"200ms"`
}

type loadCommand struct {
	callers
	Prefix    []string       `help:"Paths before a job's ID, one a queue; each queue is a class." required:""`
	Jobs      int            `help:"How many jobs." default:"400"`
	Pause     time.Duration  `help:"Mean time between two submissions." default:"50ms"`
	Turn      time.Duration  `help:"How long one queue after the other has its turn of demand; 0 for even demand." default:"5s"`
	Units     int            `help:"Work units in each of a job's two steps." default:"4"`
	Work      time.Duration  `help:"How long a work unit takes." default:"600ms"`
	Cancelled float64        `help:"Share of the jobs that are cancelled." default:"0.05"`
	Poisoned  float64        `help:"Share of the jobs that fail by their own fault." default:"0.02"`
	Facts     netip.AddrPort `help:"Address of the stand-in fleet, to report what ran for nothing."`
	Name      string         `help:"Name of the report." default:"load"`
	Out       string         `help:"File for the report as JSON."`
	Plot      string         `help:"File for a plot, such as load.svg."`
}

type compareCommand struct {
	File []string `arg:"" type:"existingfile" help:"Reports of load."`
	Plot string   `help:"File for a plot, such as compared.svg."`
}

var errUnfinished = errors.New("some jobs were not completed")

// jobCounts is printed as JSON by the jobs command. Refused counts the jobs that were
// never accepted, and Ended those that failed or were cancelled.
type jobCounts struct {
	Jobs, Accepted, Refused, Completed, Ended, Unfinished, Retries int
	Median, Slowest                                                time.Duration
}

func newJobCounts(s bbrload.Summary) jobCounts {
	return jobCounts{
		Jobs: s.Jobs, Accepted: s.Accepted, Refused: s.Jobs - s.Accepted, Completed: s.Completed,
		Ended: s.Failed + s.Cancelled, Unfinished: s.Unfinished - (s.Jobs - s.Accepted), Retries: s.Refusals + s.Lost,
		Median: s.Median, Slowest: s.Slowest,
	}
}

// Run submits the jobs and prints their counts. It fails unless all are completed.
func (c *jobsCommand) Run(o output) error {
	load := bbrload.Load{
		Entries: c.Entry, Host: c.Host, Jobs: c.Jobs, MeanInterval: c.Pause, Timeout: c.Timeout, Seed: c.Seed,
		Classes: []bbrload.Class{{Name: c.Prefix, Prefix: c.Prefix, Units: c.Units, Steps: 2, Work: c.Work}},
	}
	report := load.Run(context.Background())
	summary := report.Summarize("")
	if err := json.NewEncoder(o.out).Encode(newJobCounts(summary)); err != nil {
		return err
	}
	if summary.Completed != summary.Jobs {
		return errUnfinished
	}
	return nil
}

// Run submits the load, writes the report and prints it as a table. It fails unless
// all jobs were accepted and ended and the fleet, if queried, saw no violations.
func (c *loadCommand) Run(o output) error {
	load := bbrload.Load{
		Entries: c.Entry, Host: c.Host, Jobs: c.Jobs, MeanInterval: c.Pause, BurstDuration: c.Turn,
		CancelledShare: c.Cancelled, PoisonedShare: c.Poisoned, Timeout: c.Timeout, Seed: c.Seed,
	}
	for _, prefix := range c.Prefix {
		load.Classes = append(load.Classes, bbrload.Class{Name: strings.Trim(prefix, "/"), Prefix: prefix, Units: c.Units, Steps: 2, Work: c.Work})
	}
	report := load.Run(context.Background())
	report.Name = c.Name
	if c.Facts.IsValid() {
		waste, err := fetchWaste(c.Facts)
		if err != nil {
			return err
		}
		report.Waste = waste
	}
	if err := c.write(&report); err != nil {
		return err
	}
	if err := bbrload.Table(o.out, &report); err != nil {
		return err
	}
	if !report.Summarize("").AllEnded() || report.Waste != nil && len(report.Waste.Faults) > 0 {
		return errUnfinished
	}
	return nil
}

func (c *loadCommand) write(report *bbrload.Report) error {
	if c.Out != "" {
		data, err := json.MarshalIndent(report, "", " ")
		if err != nil {
			return err
		}
		if err := os.WriteFile(c.Out, data, 0o644); err != nil {
			return err
		}
	}
	if c.Plot != "" {
		return bbrload.Plot(c.Plot, report)
	}
	return nil
}

// fetchWaste queries a stand-in fleet for the wasted work of its upstreams.
func fetchWaste(fleet netip.AddrPort) (*bbrload.Waste, error) {
	response, err := http.Get("http://" + fleet.String() + "/facts")
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	var facts bbrfleet.Facts
	if err := json.NewDecoder(response.Body).Decode(&facts); err != nil {
		return nil, err
	}
	return &bbrload.Waste{Again: facts.Starts - facts.Units, TakenAway: len(facts.TakenAway), Faults: facts.Faults}, nil
}

// Run prints the reports as one table.
func (c *compareCommand) Run(o output) error {
	var reports []*bbrload.Report
	for _, file := range c.File {
		data, err := os.ReadFile(file)
		if err != nil {
			return err
		}
		report := &bbrload.Report{}
		if err := json.Unmarshal(data, report); err != nil {
			return errors.Wrap(err, file)
		}
		reports = append(reports, report)
	}
	for _, report := range reports[1:] {
		if report.Seed != reports[0].Seed {
			fmt.Fprintf(o.out, "%s was run with another seed than %s\n", report.Name, reports[0].Name)
		}
	}
	if c.Plot != "" {
		if err := bbrload.Plot(c.Plot, reports...); err != nil {
			return err
		}
	}
	return bbrload.Table(o.out, reports...)
}
