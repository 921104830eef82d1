package bbrticket

import (
	"crypto/sha256"
	"encoding/hex"
	"net/netip"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// Holder identifies the only process that may run the request of a key.
type Holder struct {
	Peer        netip.AddrPort `json:"peer"`
	Incarnation string         `json:"incarnation"`
}

// Claim is the record in the platform's store of a key that a caller chose.
type Claim struct {
	Holder Holder `json:"holder"`
	// Operation is a unique ID of the write. It tells a claimant whose write
	// was not answered whether that write was stored.
	Operation string `json:"operation"`
}

// ClaimKey returns the store key of the claim of an idempotency key.
func ClaimKey(queue, key string) string {
	sum := sha256.Sum256([]byte(queue + "\x00" + key))
	return "claims/" + hex.EncodeToString(sum[:16])
}

const ticketPrefix = "bbr-ticket"

var errNotTicket = errors.New("idempotency key is not a ticket")

// NewTicket returns an idempotency key that names its holder and therefore needs
// no claim.
func NewTicket(holder Holder, number uint64) string {
	return strings.Join([]string{ticketPrefix, holder.Peer.String(), holder.Incarnation, strconv.FormatUint(number, 10)}, "/")
}

// ParseTicket returns the holder that a ticket names. It fails for keys that are
// not tickets.
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
