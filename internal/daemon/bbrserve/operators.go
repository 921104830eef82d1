package bbrserve

import (
	"github.com/bluebellridge/bluebellridge/internal/daemon/bbrlistener"
	"github.com/bluebellridge/bluebellridge/internal/operator/bbradmin"
	"github.com/bluebellridge/bluebellridge/internal/operator/bbrapi"
	"github.com/bluebellridge/bluebellridge/platform/bbrwire"
)

// operators returns the listener for operators' commands, or nil where the
// settings have no address for it.
func (s *service) operators() *bbrlistener.Listener {
	if !s.settings.Listen.Operators.IsValid() {
		return nil
	}
	desk := &bbradmin.Desk{
		Store:      s.store,
		Directory:  s.claims,
		Fleet:      s.owners.fleet,
		Metrics:    s.metrics,
		Config:     s.config.Config,
		Explain:    s.owners.askWhy,
		WavePrefix: bbrwire.WavePrefix,
		DecodeWave: bbrwire.DecodeWave,
	}
	return bbrlistener.New(s.settings.Listen.Operators, bbrapi.CommandHandler(s.settings.Operators.Token, s.metrics, desk.Execute), s.settings)
}
