package bbrapi

import (
	"go.uber.org/fx"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrmetric"
	"github.com/bluebellridge/bluebellridge/internal/config/bbrsettings"
	"github.com/bluebellridge/bluebellridge/internal/daemon/bbrentry"
	"github.com/bluebellridge/bluebellridge/internal/daemon/bbrkernel"
	"github.com/bluebellridge/bluebellridge/internal/daemon/bbrlimit"
	"github.com/bluebellridge/bluebellridge/internal/daemon/bbrlistener"
	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrwithdrawal"
	"github.com/bluebellridge/bluebellridge/internal/peer/bbrlink"
	"github.com/bluebellridge/bluebellridge/internal/platform/bbrstore"
)

func init() {
	bbrkernel.Register(bbrkernel.Plugin{
		Name:   "operator",
		Stage:  bbrkernel.StageOperator,
		Option: fx.Options(fx.Provide(newExecutor), fx.Invoke(start)),
	})
}

func newExecutor(state *bbrentry.State, store *bbrstore.Store, client *bbrlink.Client,
	withdrawer *bbrwithdrawal.Withdrawer, metrics *bbrmetric.Set) *Executor {
	return &Executor{State: state, Store: store, Client: client, Withdrawer: withdrawer, Metrics: metrics}
}

func start(lifecycle fx.Lifecycle, settings bbrsettings.Settings, limits *bbrlimit.Limits, executor *Executor, server *bbrlink.Server) {
	server.SetCommandHandler(executor.ExecuteLocal)
	listener := bbrlistener.New(bbrlimit.Operators, settings.Listen.Operators, executor.Handler(settings.Operators.Token), settings, limits)
	lifecycle.Append(fx.StartStopHook(listener.Start, listener.Stop))
}
