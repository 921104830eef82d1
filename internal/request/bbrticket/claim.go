package bbrticket

import (
	"crypto/sha256"
	"encoding/hex"
	"net/netip"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// Holder names the process that alone may run a key.
type Holder struct {
	Peer        netip.AddrPort `json:"peer"`
	Incarnation string         `json:"incarnation"`
}

// Claim is the platform's record of a caller's own key.
type Claim struct {
	Holder    Holder `json:"holder"`
	Operation string `json:"operation"`
}

// ClaimKey returns where the platform keeps the claim of a key.
func ClaimKey(queue, key string) string {
	sum := sha256.Sum256([]byte(queue + "\x00" + key))
	return "claims/" + hex.EncodeToString(sum[:16])
}

const ticketPrefix = "bbr-ticket"

var errNotTicket = errors.New("not a ticket")

// NewTicket returns a key that names its holder, so that it needs no claim.
func NewTicket(holder Holder, number uint64) string {
	return strings.Join([]string{ticketPrefix, holder.Peer.String(), holder.Incarnation, strconv.FormatUint(number, 10)}, "/")
}

// ParseTicket returns the holder that a ticket names.
func ParseTicket(key string) (Holder, error) {
	parts := strings.Split(key, "/")
	if len(parts) != 4 || parts[0] != ticketPrefix {
		return Holder{}, errNotTicket
	}
	peer, err := netip.ParseAddrPort(parts[1])
	if err != nil {
		return Holder{}, errors.Mark(err, errNotTicket)
	}
	return Holder{Peer: peer, Incarnation: parts[2]}, nil
}
