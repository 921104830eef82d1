package bbrapi

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"io"
	"net/http"

	"github.com/google/uuid"
	"github.com/gorilla/mux"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrcode"
	"github.com/bluebellridge/bluebellridge/internal/base/bbrmetric"
	"github.com/bluebellridge/bluebellridge/internal/config/bbrrevision"
	"github.com/bluebellridge/bluebellridge/internal/config/bbryaml"
)

// Paths of the operator API.
const (
	CommandPath = "/v1/command"
	ConfigPath  = "/v1/config"
	MetricsPath = "/metrics"
)

const maxBodyBytes = 1 << 20

// Handler returns the HTTP handler of the operator API. Commands and configuration
// changes require the token; metrics do not.
func (x *Executor) Handler(token string) http.Handler {
	router := mux.NewRouter()
	router.HandleFunc(CommandPath, requireToken(token, x.Metrics, handleCommand(x.Execute))).Methods(http.MethodPost)
	router.HandleFunc(ConfigPath, requireToken(token, x.Metrics, x.handleConfig)).Methods(http.MethodPut)
	router.Handle(MetricsPath, promhttp.HandlerFor(x.Metrics.Registry, promhttp.HandlerOpts{})).Methods(http.MethodGet)
	return router
}

// ExecuteFunc executes a command line.
type ExecuteFunc func(ctx context.Context, request Request) Result

// CommandHandler returns the operator API of an entry that executes commands but
// does not accept a configuration.
func CommandHandler(token string, metrics *bbrmetric.Set, execute ExecuteFunc) http.Handler {
	router := mux.NewRouter()
	router.HandleFunc(CommandPath, requireToken(token, metrics, handleCommand(execute))).Methods(http.MethodPost)
	return router
}

type requestHandler func(r *http.Request) Result

func requireToken(token string, metrics *bbrmetric.Set, next requestHandler) http.HandlerFunc {
	expected := []byte("Bearer " + token)
	return func(w http.ResponseWriter, r *http.Request) {
		actual := []byte(r.Header.Get("Authorization"))
		if subtle.ConstantTimeCompare(actual, expected) != 1 {
			metrics.Refusal(bbrcode.Unauthorized)
			writeResult(w, ErrorResult(bbrcode.Errorf(bbrcode.Unauthorized, "Authorization", "")))
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
		writeResult(w, next(r))
	}
}

func writeResult(w http.ResponseWriter, result Result) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(result.Code.Info().Status)
	_ = json.NewEncoder(w).Encode(result)
}

func handleCommand(execute ExecuteFunc) requestHandler {
	return func(r *http.Request) Result {
		var request Request
		if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
			return ErrorResult(bbrcode.Errorf(bbrcode.Syntax, "body", "%v", err))
		}
		return execute(r.Context(), request)
	}
}

// handleConfig replaces the configuration with the YAML document in the body.
func (x *Executor) handleConfig(r *http.Request) Result {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return ErrorResult(bbrcode.Errorf(bbrcode.Syntax, "body", "%v", err))
	}
	config, faults := ParseConfig(data)
	if len(faults) > 0 {
		return ErrorResult(bbrrevision.Join(faults))
	}
	query := r.URL.Query()
	request := Request{Operation: query.Get("operation"), DryRun: query.Get("dryRun") == "true"}
	if request.Operation == "" {
		request.Operation = uuid.NewString()
	}
	result := x.ReplaceConfig(r.Context(), config, request)
	result.Operation = request.Operation
	return result
}

// ParseConfig decodes and validates a YAML configuration and returns every fault
// with its position.
func ParseConfig(data []byte) (bbrrevision.Config, []*bbrcode.Error) {
	var config bbrrevision.Config
	places, faults := bbryaml.Decode(data, &config)
	for _, fault := range config.Validate() {
		fault.Place = places.Of(fault.Place)
		faults = append(faults, fault)
	}
	return config, faults
}
