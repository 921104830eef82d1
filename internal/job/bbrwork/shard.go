package bbrwork

import (
	"net/url"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// Shard is the part of a service that one entry owns at a time: the service's
// upstreams in one cell of the fleet, and the jobs that run on them. A job, and an
// incarnation of an upstream, never changes its shard.
type Shard struct {
	Service string
	// Cell numbers the cell from 0.
	Cell int
}

// String returns the shard's name, which ParseShard parses. It can be part of a
// key, as a slash in the service's name is escaped.
func (s Shard) String() string { return url.PathEscape(s.Service) + "/" + strconv.Itoa(s.Cell) }

// ParseShard parses a shard's name.
func ParseShard(name string) (Shard, error) {
	escaped, number, found := strings.Cut(name, "/")
	cell, err := strconv.Atoi(number)
	if !found || err != nil || cell < 0 {
		return Shard{}, errors.Newf("%q is not the name of a shard", name)
	}
	service, err := url.PathUnescape(escaped)
	if err != nil {
		return Shard{}, errors.Wrapf(err, "shard %q", name)
	}
	return Shard{Service: service, Cell: cell}, nil
}
