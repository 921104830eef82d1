package bbrkernel

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/fx"
	"k8s.io/klog/v2"

	"github.com/bluebellridge/bluebellridge/internal/config/bbrsettings"
)

// Stage orders the plug-ins.
type Stage int

// Stages in the order of starting. The peers' address is bound before the
// entry registers, and callers come last.
const (
	StageCore Stage = iota
	StagePeer
	StageMember
	StageCoordinator
	StageOperator
	StageCaller
)

// Plugin is one part of the daemon.
type Plugin struct {
	Name  string
	Stage Stage
	// Protocol is the platform's protocol with which the plug-in is used; empty
	// means the project's own.
	Protocol bbrsettings.Protocol
	Option   fx.Option
}

var plugins []Plugin

// Register adds a plug-in. It is called from the init function of its package.
func Register(plugin Plugin) { plugins = append(plugins, plugin) }

func pluginsByStage() []Plugin {
	list := slices.Clone(plugins)
	slices.SortStableFunc(list, func(a, b Plugin) int { return int(a.Stage) - int(b.Stage) })
	return list
}

const (
	startTimeout = 15 * time.Second
	// stopMargin is what stopping takes besides the balancer's lag and the
	// grace for requests in flight.
	stopMargin = 15 * time.Second
)

// Options returns all plug-ins as one option.
func Options(settings bbrsettings.Settings) fx.Option {
	options := []fx.Option{
		fx.NopLogger,
		fx.Supply(settings),
		fx.StartTimeout(startTimeout),
		fx.StopTimeout(settings.Shutdown.BalancerLag + settings.Shutdown.Grace + stopMargin),
	}
	for _, plugin := range pluginsByStage() {
		if cmp.Or(plugin.Protocol, bbrsettings.ProtocolOwn) != cmp.Or(settings.Platform.Protocol, bbrsettings.ProtocolOwn) {
			continue
		}
		options = append(options, fx.Module(plugin.Name, plugin.Option))
	}
	return fx.Options(options...)
}

// Run starts the plug-ins, waits until ctx ends, and stops them.
func Run(ctx context.Context, settings bbrsettings.Settings) error {
	app := fx.New(Options(settings))
	if err := app.Err(); err != nil {
		return errors.Wrap(err, "assembling")
	}
	startCtx, cancelStart := context.WithTimeout(ctx, app.StartTimeout())
	defer cancelStart()
	if err := app.Start(startCtx); err != nil {
		return errors.Wrap(err, "starting")
	}
	klog.InfoS("Started", "entry", settings.Entry, "zone", settings.Zone)
	<-ctx.Done()
	klog.InfoS("Stopping", "entry", settings.Entry)
	stopCtx, cancelStop := context.WithTimeout(context.WithoutCancel(ctx), app.StopTimeout())
	defer cancelStop()
	err := app.Stop(stopCtx)
	klog.InfoS("Stopped", "entry", settings.Entry)
	return errors.Wrap(err, "stopping")
}
