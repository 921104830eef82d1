package bbrclient

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"os"
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrcode"
	"github.com/bluebellridge/bluebellridge/internal/operator/bbrapi"
	"github.com/bluebellridge/bluebellridge/internal/operator/bbrlanguage"
)

const (
	maxResponseBytes = 64 << 20
	// maxFileBytes bounds the file that is sent with a command. Encoded as base64 it stays
	// within what an entry reads of a request.
	maxFileBytes = 512 << 10
)

type client struct {
	arguments arguments
	scheme    string
	http      http.Client
}

func newClient(a arguments) (*client, error) {
	c := &client{arguments: a, scheme: "http", http: http.Client{Timeout: a.Timeout}}
	if a.CA == "" {
		return c, nil
	}
	authority, err := os.ReadFile(a.CA)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authority) {
		return nil, errors.Newf("%s: no certificate found", a.CA)
	}
	c.scheme = "https"
	c.http.Transport = &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}}
	return c, nil
}

func (c *client) run(ctx context.Context, line string) (bbrapi.Result, error) {
	file, err := readFile(line)
	if err != nil {
		return bbrapi.ErrorResult(err), nil
	}
	body, err := json.Marshal(bbrapi.Request{Line: line, Operation: c.arguments.Operation, DryRun: c.arguments.DryRun, Body: file})
	if err != nil {
		return bbrapi.Result{}, err
	}
	return c.call(ctx, http.MethodPost, bbrapi.CommandPath, body)
}

// readFile returns the content of the file that a command names; nil if it names none.
// The entry reports a command that cannot be parsed.
func readFile(line string) ([]byte, error) {
	command, err := bbrlanguage.Parse(line)
	if err != nil || command.Explain == nil || command.Explain.File == "" {
		return nil, nil
	}
	file, err := os.Open(command.Explain.File)
	if err != nil {
		return nil, bbrcode.Errorf(bbrcode.Syntax, "file", "%v", err)
	}
	defer file.Close()
	data, err := io.ReadAll(io.LimitReader(file, maxFileBytes+1))
	switch {
	case err != nil:
		return nil, bbrcode.Errorf(bbrcode.Syntax, "file", "%v", err)
	case len(data) == 0 || len(data) > maxFileBytes:
		return nil, bbrcode.Errorf(bbrcode.Syntax, "file", "%s must have 1 to %d bytes", command.Explain.File, maxFileBytes)
	default:
		return data, nil
	}
}

func (c *client) apply(ctx context.Context, config []byte) (bbrapi.Result, error) {
	query := url.Values{"dryRun": {strconv.FormatBool(c.arguments.DryRun)}, "operation": {c.arguments.Operation}}
	return c.call(ctx, http.MethodPut, bbrapi.ConfigPath+"?"+query.Encode(), config)
}

func (c *client) call(ctx context.Context, method, path string, body []byte) (bbrapi.Result, error) {
	var result bbrapi.Result
	request, err := http.NewRequestWithContext(ctx, method, c.scheme+"://"+c.arguments.Entry+path, bytes.NewReader(body))
	if err != nil {
		return result, err
	}
	request.Header.Set("Authorization", "Bearer "+c.arguments.Token)
	response, err := c.http.Do(request)
	if err != nil {
		return result, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return result, err
	}
	return result, errors.Wrap(json.Unmarshal(data, &result), "cannot decode the response of the entry")
}
