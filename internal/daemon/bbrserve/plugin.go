package bbrserve

import (
	"go.uber.org/fx"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrmetric"
	"github.com/bluebellridge/bluebellridge/internal/config/bbrsettings"
	"github.com/bluebellridge/bluebellridge/internal/daemon/bbrkernel"
	"github.com/bluebellridge/bluebellridge/internal/daemon/bbrlimit"
)

func init() {
	bbrkernel.Register(bbrkernel.Plugin{
		Name:     "serve",
		Stage:    bbrkernel.StageCore,
		Protocol: bbrsettings.ProtocolFleet,
		Option:   fx.Options(fx.Provide(bbrmetric.New, bbrlimit.New, newDaemon), fx.Invoke(startStop)),
	})
}

// startStop registers the daemon with the lifecycle.
func startStop(lifecycle fx.Lifecycle, d *daemon) {
	lifecycle.Append(fx.StartStopHook(d.start, d.stop))
}
