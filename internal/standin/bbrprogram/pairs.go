package bbrprogram

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/bluebellridge/bluebellridge/internal/standin/bbrexperiment"
	"github.com/bluebellridge/bluebellridge/platform/bbrbench"
)

type pairsCommand struct {
	Before []string `help:"Folders with the journal of the earlier build." required:"" type:"existingdir"`
	After  []string `help:"Folders with the journal of the later build." required:"" type:"existingdir"`
	Out    string   `help:"File for the pairs as JSON."`
	Plot   string   `help:"File for a plot, such as pairs.svg."`
}

// Run pairs the trials of the journals and prints the summary of the pairs.
func (c *pairsCommand) Run(o output) error {
	before, err := bbrbench.ReadJournals(c.Before...)
	if err != nil {
		return err
	}
	after, err := bbrbench.ReadJournals(c.After...)
	if err != nil {
		return err
	}
	pairs, unpaired := bbrexperiment.MatchPairs(before, after)
	if unpaired > 0 {
		fmt.Fprintf(o.out, "%d trials have no counterpart\n", unpaired)
	}
	if c.Out != "" {
		data, err := json.MarshalIndent(pairs, "", " ")
		if err != nil {
			return err
		}
		if err := os.WriteFile(c.Out, data, 0o644); err != nil {
			return err
		}
	}
	if c.Plot != "" {
		if err := bbrexperiment.Plot(c.Plot, pairs); err != nil {
			return err
		}
	}
	return bbrexperiment.Table(o.out, bbrexperiment.Summarize(pairs))
}
