package bbrserve

import (
	"github.com/bluebellridge/bluebellridge/internal/daemon/bbrlimit"
	"github.com/bluebellridge/bluebellridge/internal/daemon/bbrlistener"
	"github.com/bluebellridge/bluebellridge/internal/operator/bbradmin"
	"github.com/bluebellridge/bluebellridge/internal/operator/bbrapi"
	"github.com/bluebellridge/bluebellridge/platform/bbrwire"
)

// operatorListener returns the listener for operators' commands, or nil if the
// settings have no address for it.
func (d *daemon) operatorListener() *bbrlistener.Listener {
	if !d.settings.Listen.Operators.IsValid() {
		return nil
	}
	executor := &bbradmin.Executor{
		Store:      d.store,
		Directory:  d.directory,
		Fleet:      d.owners.fleet,
		Metrics:    d.metrics,
		Config:     d.config.Config,
		Explain:    d.owners.queryExplanation,
		Preview:    d.handler.Preview,
		Place:      d.owners.queryPlacement,
		WavePrefix: bbrwire.WavePrefix,
		DecodeWave: bbrwire.DecodeWave,
	}
	return bbrlistener.New(bbrlimit.Operators, d.settings.Listen.Operators, bbrapi.CommandHandler(d.settings.Operators.Token, d.metrics, executor.Execute), d.settings, d.limits)
}
