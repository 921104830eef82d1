package bbrprogram

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bluebellridge/bluebellridge/internal/soak/bbrsoak"
)

type soakCommand struct {
	Seed        uint64        `help:"First seed." default:"1"`
	Runs        int           `help:"How many seeds, one after the other." default:"1"`
	For         time.Duration `help:"How long there is trouble in each run." default:"30s"`
	Daemon      string        `help:"Program of the entries." default:"bin/bluebellridged" type:"existingfile"`
	Older       string        `help:"Program of an earlier build that runs beside it until the trouble ends." type:"existingfile"`
	Entries     int           `help:"How many entries." default:"4"`
	Workers     int           `help:"How many upstreams." default:"30"`
	SlowOwners  bool          `help:"Pause the owners of shards in series instead of the other trouble, and check long-running work all the time."`
	LateCommits bool          `help:"Let the store do transactions seconds later, without an answer, instead of the other trouble."`
	Restarts    bool          `help:"Restart upstreams under their IDs and cut them off soon after instead of the other trouble, while long work runs."`
	Backlog     bool          `help:"End and pause owners of shards with a backlog over slow links instead of the other trouble, and check that they are loaded and their jobs start."`
	Dir         string        `help:"Directory of settings and logs; they are kept where a promise was broken." default:"${tempDir}"`
}

var errGuaranteeViolated = errors.New("a guarantee was violated")

// Run soaks the entries with one seed after the other. It fails if a guarantee was
// violated.
func (c *soakCommand) Run(o output) error {
	broken := 0
	for i := range c.Runs {
		seed := c.Seed + uint64(i)
		faults, err := c.runSeed(o, seed)
		if err != nil {
			return err
		}
		fmt.Fprintf(o.out, "seed %d: %d faults\n", seed, len(faults))
		for _, fault := range faults {
			fmt.Fprintln(o.out, "  "+fault)
		}
		broken += len(faults)
	}
	if broken > 0 {
		return errGuaranteeViolated
	}
	return nil
}

// runSeed soaks the entries with one seed and returns the violations. It removes the
// settings and logs unless there are any.
func (c *soakCommand) runSeed(o output, seed uint64) ([]string, error) {
	dir, err := os.MkdirTemp(c.Dir, fmt.Sprintf("bbrsoak-%d-", seed))
	if err != nil {
		return nil, err
	}
	fmt.Fprintln(o.out, "settings and logs in", dir)
	s := &bbrsoak.Soak{Seed: seed, Duration: c.For, CheckDelays: true, DaemonPath: c.Daemon, OlderDaemonPath: c.Older, EntryCount: c.Entries, UpstreamCount: c.Workers, SlowOwners: c.SlowOwners, Restarts: c.Restarts, LateCommits: c.LateCommits, Backlog: c.Backlog, WorkDir: dir, Out: o.out}
	faults, err := s.Run(context.Background())
	if err == nil && len(faults) == 0 {
		err = os.RemoveAll(dir)
	}
	return faults, err
}
