package bbrwork

import (
	"net/url"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// Shard is the part of a service that one entry owns at a time: the service's
// upstreams in one cell of the fleet, and the jobs that run on them. A life of
// an upstream and a job belong to one shard for all their time.
type Shard struct {
	Service string
	// Cell numbers the cell from 0.
	Cell int
}

// String returns the shard's name, which ParseShard reads. It can be part of a
// key: a slash in the service's name is escaped.
func (s Shard) String() string { return url.PathEscape(s.Service) + "/" + strconv.Itoa(s.Cell) }

// ParseShard reads a shard's name.
func ParseShard(name string) (Shard, error) {
	escaped, number, found := strings.Cut(name, "/")
	cell, err := strconv.Atoi(number)
	if !found || err != nil || cell < 0 {
		return Shard{}, errors.Newf("%q does not name a shard", name)
	}
	service, err := url.PathUnescape(escaped)
	if err != nil {
		return Shard{}, errors.Wrapf(err, "shard %q", name)
	}
	return Shard{Service: service, Cell: cell}, nil
}
