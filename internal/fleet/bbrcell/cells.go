package bbrcell

import (
	"encoding/json"
	"hash/fnv"
	"slices"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// Cells is the division of the fleet. A value never changes once it is shared.
type Cells struct {
	// Sizes has how many instances each cell had when racks were last added.
	Sizes []int `json:"sizes"`
	// CellByRack has each rack's cell, for good.
	CellByRack map[string]int `json:"racks"`
	// CellsByLabel has, for the other labels, the cells with an instance that bears it,
	// in order.
	CellsByLabel map[string][]int `json:"labels"`
}

// Parse reads a stored division; no value has none.
func Parse(value []byte) (*Cells, error) {
	if len(value) == 0 {
		return nil, nil
	}
	cells := &Cells{}
	return cells, json.Unmarshal(value, cells)
}

// Count returns how many cells there are. Before the fleet is divided there is
// one, so that jobs can be accepted.
func (c *Cells) Count() int {
	if c == nil {
		return 1
	}
	return max(1, len(c.Sizes))
}

// RackCount returns how many racks have a cell; it rises with each that gets one.
func (c *Cells) RackCount() int {
	if c == nil {
		return 0
	}
	return len(c.CellByRack)
}

// CellOf returns the cell of an upstream or instance by its rack. It is not known
// before the fleet is divided, and for a rack that was not seen yet.
func (c *Cells) CellOf(rack string) (int, bool) {
	if c == nil {
		return 0, false
	}
	if len(c.Sizes) == 1 {
		return 0, true
	}
	cell, known := c.CellByRack[rack]
	return cell, known
}

// ChooseForJob returns the cell for a new job of a service. A job that needs many
// upstreams at once goes to the service's home, so that not every cell keeps
// instances for such jobs; one whose data lies on a rack goes there, and any
// other to a cell that is drawn by the job's ID.
func (c *Cells) ChooseForJob(job *bbrwork.Job, homeCell int) int {
	if c.Count() == 1 {
		return 0
	}
	candidates := c.candidates(job)
	if homeCell %= c.Count(); needsManyUpstreams(job) && slices.Contains(candidates, homeCell) {
		return homeCell
	}
	if cell, known := c.CellOf(mainDataRack(job)); known && slices.Contains(candidates, cell) {
		return cell
	}
	return c.pickByID(job.ID, candidates)
}

// candidates returns the cells that have all labels which the job's steps ask
// for, or all cells where none has.
func (c *Cells) candidates(job *bbrwork.Job) []int {
	all := make([]int, c.Count())
	for cell := range all {
		all[cell] = cell
	}
	candidates := slices.Clone(all)
	for i := range job.Steps {
		if label := job.Steps[i].Label; label != "" {
			candidates = slices.DeleteFunc(candidates, func(cell int) bool { return !c.hasLabel(label, cell) })
		}
	}
	if len(candidates) == 0 {
		return all
	}
	return candidates
}

func (c *Cells) hasLabel(label string, cell int) bool {
	if rackCell, known := c.CellByRack[label]; known {
		return rackCell == cell
	}
	return slices.Contains(c.CellsByLabel[label], cell)
}

// needsManyUpstreams tells whether a step of the job needs many upstreams at once.
func needsManyUpstreams(job *bbrwork.Job) bool {
	for i := range job.Steps {
		step := &job.Steps[i]
		if step.LongRunning && step.MaxPerUpstream > 0 || step.Gang && !step.SameRack {
			return true
		}
	}
	return false
}

// mainDataRack returns the rack with the data of most of the job's work; empty for
// none.
func mainDataRack(job *bbrwork.Job) string {
	milliCPU := make(map[string]int)
	main := ""
	for i := range job.Steps {
		step := &job.Steps[i]
		if step.DataRack == "" {
			continue
		}
		milliCPU[step.DataRack] += step.Count * step.Need.MilliCPU
		if main == "" || milliCPU[step.DataRack] > milliCPU[main] {
			main = step.DataRack
		}
	}
	return main
}

// pickByID returns one of the cells by the ID, larger ones for more IDs.
func (c *Cells) pickByID(id string, cells []int) int {
	total := 0
	for _, cell := range cells {
		total += c.Sizes[cell]
	}
	if total == 0 {
		return cells[0]
	}
	hash := fnv.New32a()
	hash.Write([]byte(id)) // It never fails.
	offset := int(uint64(hash.Sum32()) * uint64(total) >> 32)
	for _, cell := range cells {
		if offset < c.Sizes[cell] {
			return cell
		}
		offset -= c.Sizes[cell]
	}
	return cells[len(cells)-1]
}
