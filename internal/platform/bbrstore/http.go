package bbrstore

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"
)

// maxResponseBytes has room for the platform's largest value, one megabyte, in
// base64 and with its envelope.
const maxResponseBytes = 2 << 20

// ValueBody is the body of reads and writes in the platform's protocol.
type ValueBody struct {
	Value   []byte  `json:"value"`
	Version uint64  `json:"version"`
	Lease   LeaseID `json:"lease,omitempty"`
}

// LeaseBody is the body of lease calls in the platform's protocol.
type LeaseBody struct {
	ID        LeaseID `json:"id"`
	TTLMillis int64   `json:"ttlMillis"`
}

// KeysBody is the response body of a listing of keys.
type KeysBody struct {
	Keys []string `json:"keys"`
}

// ClientHeader is the HTTP header that identifies the client.
const ClientHeader = "Platform-Client"

// Adapter implements the platform's HTTP protocol.
type Adapter struct {
	Address netip.AddrPort
	// ClientID is sent with each call.
	ClientID string
	// Timeout limits each call. A watch may take longer by its wait.
	Timeout time.Duration
	Client  http.Client
}

// Store returns a Store that uses the adapter.
func (a *Adapter) Store() *Store {
	return &Store{
		Get:            a.get,
		CompareAndSwap: a.compareAndSwap,
		Watch:          a.watch,
		Keys:           a.keys,
		Grant:          a.grant,
		Renew:          a.renew,
		Revoke:         a.revoke,
	}
}

// Call performs one HTTP call of the platform's protocol and decodes the JSON
// response into out, which may be nil.
func (a *Adapter) Call(ctx context.Context, method, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, a.Timeout)
	defer cancel()
	return a.call(ctx, method, path, in, out)
}

func (a *Adapter) call(ctx context.Context, method, path string, in, out any) error {
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return err
		}
		body = bytes.NewReader(data)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+a.Address.String()+path, body)
	if err != nil {
		return err
	}
	request.Header.Set(ClientHeader, a.ClientID)
	response, err := a.Client.Do(request)
	if err != nil {
		return errors.Mark(err, ErrAnswerLost)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return errors.Mark(err, ErrAnswerLost)
	}
	return decode(response.StatusCode, data, out)
}

func decode(status int, data []byte, out any) error {
	switch status {
	case http.StatusOK, http.StatusAccepted:
		if out == nil {
			return nil
		}
		return json.Unmarshal(data, out)
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusConflict:
		return ErrConflict
	case http.StatusNotModified:
		return ErrUnchanged
	default:
		return errors.Mark(errors.Newf("platform responded with status %d", status), ErrUnavailable)
	}
}

// readError converts the error of a read: a lost response becomes ErrUnavailable,
// since a read has no effect.
func readError(err error) error {
	if errors.Is(err, ErrAnswerLost) {
		return errors.Mark(err, ErrUnavailable)
	}
	return err
}

func (a *Adapter) get(ctx context.Context, key string, knownVersion uint64) (Value, error) {
	var body ValueBody
	path := fmt.Sprintf("/v1/kv/%s?known=%d", url.PathEscape(key), knownVersion)
	err := a.Call(ctx, http.MethodGet, path, nil, &body)
	return Value{Data: body.Value, Version: body.Version}, readError(err)
}

func (a *Adapter) compareAndSwap(ctx context.Context, key string, expectedVersion uint64, data []byte, lease LeaseID) (uint64, error) {
	var response ValueBody
	body := ValueBody{Value: data, Version: expectedVersion, Lease: lease}
	err := a.Call(ctx, http.MethodPut, "/v1/kv/"+url.PathEscape(key), body, &response)
	return response.Version, err
}

func (a *Adapter) watch(ctx context.Context, key string, knownVersion uint64, wait time.Duration) (Value, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+a.Timeout)
	defer cancel()
	var body ValueBody
	path := fmt.Sprintf("/v1/watch/%s?known=%d&waitMillis=%d", url.PathEscape(key), knownVersion, wait.Milliseconds())
	err := a.call(ctx, http.MethodGet, path, nil, &body)
	return Value{Data: body.Value, Version: body.Version}, readError(err)
}

func (a *Adapter) keys(ctx context.Context, prefix string) ([]string, error) {
	var body KeysBody
	err := a.Call(ctx, http.MethodGet, "/v1/keys?prefix="+url.QueryEscape(prefix), nil, &body)
	return body.Keys, readError(err)
}

func (a *Adapter) grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	var body LeaseBody
	err := a.Call(ctx, http.MethodPost, "/v1/leases", LeaseBody{TTLMillis: ttl.Milliseconds()}, &body)
	return body.ID, err
}

func (a *Adapter) renew(ctx context.Context, lease LeaseID) error {
	return a.Call(ctx, http.MethodPut, "/v1/leases/"+url.PathEscape(string(lease)), nil, nil)
}

func (a *Adapter) revoke(ctx context.Context, lease LeaseID) error {
	return a.Call(ctx, http.MethodDelete, "/v1/leases/"+url.PathEscape(string(lease)), nil, nil)
}
