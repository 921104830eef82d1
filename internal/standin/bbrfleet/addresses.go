package bbrfleet

import (
	"bytes"
	"context"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
)

// Addresses are the addresses at which one entry reaches upstreams, by their registered
// addresses, such as those of relays of its own.
type Addresses map[netip.AddrPort]netip.AddrPort

// addressesKey is the key of Addresses in the context of a call.
type addressesKey struct{}

// HandlerFor returns the handler for an entry that reads other addresses of upstreams than
// those that are registered.
func (f *Fleet) HandlerFor(addresses Addresses) http.Handler {
	handler := f.Handler()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		handler.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), addressesKey{}, addresses)))
	})
}

// replaceAddresses returns the items as the caller reads them.
func replaceAddresses(r *http.Request, items []Item) []Item {
	addresses, _ := r.Context().Value(addressesKey{}).(Addresses)
	if len(addresses) == 0 {
		return items
	}
	items = slices.Clone(items)
	for i, item := range items {
		if !item.Tombstone && strings.HasPrefix(item.Key, registrationPrefix) {
			items[i].Value = addresses.replace(item.Value)
		}
	}
	return items
}

// replace returns a registration with the entry's address of the upstream.
func (a Addresses) replace(registration []byte) []byte {
	for registered, address := range a {
		from, to := strconv.Quote(registered.String()), strconv.Quote(address.String())
		if replaced := bytes.Replace(registration, []byte(from), []byte(to), 1); !bytes.Equal(replaced, registration) {
			return replaced
		}
	}
	return registration
}
