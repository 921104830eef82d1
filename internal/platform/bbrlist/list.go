package bbrlist

import (
	"context"
	"net/http"
	"net/netip"
	"net/url"

	"github.com/bluebellridge/bluebellridge/internal/platform/bbrstore"
)

// State is the state of an instance according to the platform.
type State string

// States of the platform's list.
const (
	StateLive      State = "live"
	StateLeaving   State = "leaving"
	StateRebooting State = "rebooting"
)

// Instance is one row of the platform's list.
type Instance struct {
	ID      string         `json:"id"`
	Zone    string         `json:"zone"`
	Rack    string         `json:"rack"`
	Address netip.AddrPort `json:"address"`
	// Pool is the pool that the instance was rented for. It is used only when the
	// instance is listed for the first time.
	Pool        string `json:"pool"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
	MemoryBytes int64  `json:"memoryBytes"`
	State       State  `json:"state"`
	// LastReboot is the operation ID of the last completed reboot.
	LastReboot string `json:"lastReboot"`
}

// ListBody is the response body of a listing.
type ListBody struct {
	Instances []Instance `json:"instances"`
}

// RebootBody is the request body of a reboot. The platform performs each
// operation at most once.
type RebootBody struct {
	Operation string `json:"operation"`
}

// List has the calls for the platform's instances as function fields.
type List struct {
	// Instances returns the instances of a zone, as they were up to some seconds
	// ago.
	Instances func(ctx context.Context, zone string) ([]Instance, error)
	// Reboot starts a reboot. Repeating an operation has no effect.
	Reboot func(ctx context.Context, instance, operation string) error
}

// NewList returns a List that uses the platform's HTTP protocol.
func NewList(a *bbrstore.Adapter) *List {
	return &List{
		Instances: func(ctx context.Context, zone string) ([]Instance, error) {
			var list ListBody
			err := a.Call(ctx, http.MethodGet, "/v1/instances?zone="+url.QueryEscape(zone), nil, &list)
			return list.Instances, err
		},
		Reboot: func(ctx context.Context, instance, operation string) error {
			path := "/v1/instances/" + url.PathEscape(instance) + "/reboot"
			return a.Call(ctx, http.MethodPost, path, RebootBody{Operation: operation}, nil)
		},
	}
}
