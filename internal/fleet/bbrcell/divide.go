package bbrcell

import (
	"cmp"
	"maps"
	"slices"

	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrmachine"
)

const (
	// mostInstances is how many instances of all pools a cell has, where the fleet
	// is large enough and entries are strong. It bounds an owner's work: in a turn
	// of its service's demand the owner has about half of them.
	mostInstances = 128
	// leastInstances leaves a cell enough of each pool to move some.
	leastInstances = 32
	// strongMilliCPU is the processor time of an entry whose owner can have a
	// cell of the most instances, in thousandths of a core.
	strongMilliCPU = 400
)

// TargetSize returns how many instances a cell should have, where owners are entries
// of the processor time, in thousandths of a core; 0 where it is not known.
func TargetSize(milliCPU int) int {
	if milliCPU == 0 {
		return mostInstances
	}
	return min(mostInstances, max(leastInstances, mostInstances*milliCPU/strongMilliCPU))
}

// rack is the instances of one rack.
type rack struct {
	name, pool, zone string
	instances        []bbrmachine.Instance
}

// Divide returns the division into cells of the size with the racks of the
// instances that it lacks, or the same one where it has them all. Racks of each pool and zone are spread
// over the cells. A rack keeps its cell for good, so a fleet that has grown gets
// further cells of new racks, and none are ever joined.
func (c *Cells) Divide(instances []bbrmachine.Instance, size int) *Cells {
	missing := c.missing(instances)
	if len(missing) == 0 && c != nil {
		return c
	}
	d := newDivision(c, instances)
	d.addCells(len(instances), size, missing)
	for _, r := range missing {
		d.add(r)
	}
	return d.cells
}

// missing returns the racks that have no cell, in order of pool and zone.
func (c *Cells) missing(instances []bbrmachine.Instance) []rack {
	racks := make(map[string]*rack)
	for _, instance := range instances {
		name := instance.Rack()
		if c != nil {
			if _, known := c.CellByRack[name]; known {
				continue
			}
		}
		r := racks[name]
		if r == nil {
			r = &rack{name: name, pool: instance.Pool, zone: instance.Zone}
			racks[name] = r
		}
		r.instances = append(r.instances, instance)
	}
	list := make([]rack, 0, len(racks))
	for _, r := range racks {
		list = append(list, *r)
	}
	slices.SortFunc(list, func(a, b rack) int {
		return cmp.Or(cmp.Compare(a.pool, b.pool), cmp.Compare(a.zone, b.zone), cmp.Compare(a.name, b.name))
	})
	return list
}

// division is a division in the making.
type division struct {
	cells *Cells
	// pools and zones count the instances that have a cell, by cell.
	pools, zones []map[string]int
}

func newDivision(from *Cells, instances []bbrmachine.Instance) *division {
	cells := &Cells{CellByRack: make(map[string]int), CellsByLabel: make(map[string][]int)}
	if from != nil {
		cells.Sizes = slices.Clone(from.Sizes)
		maps.Copy(cells.CellByRack, from.CellByRack)
		for label, in := range from.CellsByLabel {
			cells.CellsByLabel[label] = slices.Clone(in)
		}
	}
	d := &division{cells: cells}
	for range cells.Sizes {
		d.pools, d.zones = append(d.pools, make(map[string]int)), append(d.zones, make(map[string]int))
	}
	for _, instance := range instances {
		if cell, known := cells.CellByRack[instance.Rack()]; known {
			d.pools[cell][instance.Pool]++
			d.zones[cell][instance.Zone]++
		}
	}
	return d
}

// addCells adds as many cells as a fleet of the size should have more, as far as
// the missing racks fill them.
func (d *division) addCells(fleet, size int, missing []rack) {
	fresh := 0
	for _, r := range missing {
		fresh += len(r.instances)
	}
	want := max(1, fleet/size)
	for len(d.cells.Sizes) == 0 || len(d.cells.Sizes) < want && fresh >= size {
		d.cells.Sizes = append(d.cells.Sizes, 0)
		d.pools, d.zones = append(d.pools, make(map[string]int)), append(d.zones, make(map[string]int))
		fresh -= size
	}
}

// add puts a rack into the cell that has least of its like.
func (d *division) add(r rack) {
	best := 0
	for cell := range d.cells.Sizes {
		if d.compare(r, cell, best) < 0 {
			best = cell
		}
	}
	d.cells.CellByRack[r.name] = best
	d.cells.Sizes[best] += len(r.instances)
	d.pools[best][r.pool] += len(r.instances)
	d.zones[best][r.zone] += len(r.instances)
	for i := range r.instances {
		for _, label := range r.instances[i].Labels {
			d.addLabel(r, label, best)
		}
	}
}

func (d *division) compare(r rack, a, b int) int {
	return cmp.Or(
		cmp.Compare(d.pools[a][r.pool], d.pools[b][r.pool]),
		cmp.Compare(d.cells.Sizes[a], d.cells.Sizes[b]),
		cmp.Compare(d.zones[a][r.zone], d.zones[b][r.zone]),
	)
}

func (d *division) addLabel(r rack, label string, cell int) {
	in := d.cells.CellsByLabel[label]
	at, found := slices.BinarySearch(in, cell)
	if label != r.name && !found {
		d.cells.CellsByLabel[label] = slices.Insert(in, at, cell)
	}
}
