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

	"github.com/bluebellridge/bluebellridge/internal/operator/bbrapi"
)

const maxResponseBytes = 64 << 20

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
	body, err := json.Marshal(bbrapi.Request{Line: line, Operation: c.arguments.Operation, DryRun: c.arguments.DryRun})
	if err != nil {
		return bbrapi.Result{}, err
	}
	return c.call(ctx, http.MethodPost, bbrapi.CommandPath, body)
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
