package bbrcell

import (
	"encoding/json"
	"hash/fnv"
	"slices"

	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
)

// Cells is the division of the fleet into cells. A value must not change once it is
// shared. A nil value is a fleet that is not divided yet.
type Cells struct {
	// Sizes holds the number of instances of each cell, counted when its racks were added.
	Sizes []int `json:"sizes"`
	// CellByRack maps each rack to its cell, which never changes.
	CellByRack map[string]int `json:"racks"`
	// CellsByLabel maps each label that does not name a rack to the cells that have an
	// instance with it, in order.
	CellsByLabel map[string][]int `json:"labels"`
}

// Parse decodes a stored division. An empty value yields nil.
func Parse(value []byte) (*Cells, error) {
	if len(value) == 0 {
		return nil, nil
	}
	cells := &Cells{}
	return cells, json.Unmarshal(value, cells)
}

// Count returns the number of cells. It is 1 before the fleet is divided, so that jobs can
// be accepted.
func (c *Cells) Count() int {
	if c == nil {
		return 1
	}
	return max(1, len(c.Sizes))
}

// RackCount returns the number of racks that have a cell. It never decreases.
func (c *Cells) RackCount() int {
	if c == nil {
		return 0
	}
	return len(c.CellByRack)
}

// CellOf returns the cell of the upstreams and instances of a rack, and whether it is
// known. It is unknown before the fleet is divided, and for a rack that was not listed yet
// unless there is only one cell.
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
// upstreams at once goes to the service's home cell, so that not every cell keeps
// instances for such jobs. A job whose data is on a rack goes to the rack's cell, and any
// other job to a cell that its ID selects. homeCell counts modulo the number of cells.
func (c *Cells) ChooseForJob(job *bbrwork.Job, homeCell int) int {
	cell, _, _ := c.choose(job, homeCell)
	return cell
}

// PreviewForJob returns the cell that ChooseForJob does, and why it is that one.
func (c *Cells) PreviewForJob(job *bbrwork.Job, homeCell int) (int, Reason) {
	cell, _, reason := c.choose(job, homeCell)
	if reason == ReasonEvenRoom {
		reason = ReasonID
	}
	return cell, reason
}

// choose returns the cell for a new job and why it is that one. If the job's ID selects the
// cell, it also returns the cells from which that was selected.
func (c *Cells) choose(job *bbrwork.Job, homeCell int) (cell int, candidates []int, reason Reason) {
	if c.Count() == 1 {
		return 0, nil, ReasonOnlyCell
	}
	candidates = c.candidates(job)
	if homeCell %= c.Count(); needsManyUpstreams(job) && slices.Contains(candidates, homeCell) {
		return homeCell, nil, ReasonManyUpstreams
	}
	if cell, known := c.CellOf(mainDataRack(job)); known && slices.Contains(candidates, cell) {
		return cell, nil, ReasonData
	}
	return c.pickByID(job.ID, candidates), candidates, ReasonEvenRoom
}

// all returns all cells, in order.
func (c *Cells) all() []int {
	all := make([]int, c.Count())
	for cell := range all {
		all[cell] = cell
	}
	return all
}

// Candidates returns the cells that can run the job, as far as labels tell.
func (c *Cells) Candidates(job *bbrwork.Job) []int { return c.candidates(job) }

// candidates returns the cells that have all labels that the job's steps require, or all
// cells if none has.
func (c *Cells) candidates(job *bbrwork.Job) []int {
	all := c.all()
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

// hasLabel reports whether the cell has an instance with the label.
func (c *Cells) hasLabel(label string, cell int) bool {
	if rackCell, known := c.CellByRack[label]; known {
		return rackCell == cell
	}
	return slices.Contains(c.CellsByLabel[label], cell)
}

// needsManyUpstreams reports whether a step of the job needs many upstreams at once.
func needsManyUpstreams(job *bbrwork.Job) bool {
	for i := range job.Steps {
		step := &job.Steps[i]
		if step.LongRunning && step.MaxPerUpstream > 0 || step.Gang && !step.SameRack {
			return true
		}
	}
	return false
}

// mainDataRack returns the rack that holds the data of the largest share of the job's
// work, or an empty string.
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

// pickByID returns the cell that a hash of the ID selects, weighted by the sizes of the
// cells.
func (c *Cells) pickByID(id string, cells []int) int {
	total := 0
	for _, cell := range cells {
		total += c.Sizes[cell]
	}
	if total == 0 {
		return cells[0]
	}
	hash := fnv.New32a()
	hash.Write([]byte(id)) // A hash never returns an error.
	offset := int(uint64(hash.Sum32()) * uint64(total) >> 32)
	for _, cell := range cells {
		if offset < c.Sizes[cell] {
			return cell
		}
		offset -= c.Sizes[cell]
	}
	return cells[len(cells)-1]
}

// fractionOf returns a number in [0, 1) that depends on the ID only, and not on the cell
// that the ID selects.
func fractionOf(id string) float64 {
	const (
		multiplier    = 0xff51afd7ed558ccd // From the finalizer of MurmurHash3.
		shift         = 33
		fractionBits  = 53
		discardedBits = 64 - fractionBits
	)
	hash := fnv.New64a()
	hash.Write([]byte(id)) // A hash never returns an error.
	mixed := hash.Sum64()
	mixed = (mixed ^ mixed>>shift) * multiplier
	mixed ^= mixed >> shift
	return float64(mixed>>discardedBits) / (1 << fractionBits)
}
