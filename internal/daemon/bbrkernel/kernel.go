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

// Stage determines the order in which plug-ins start.
type Stage int

// Stages in the order in which they start. The address for peers is bound before
// the entry registers, and callers are served last.
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
	// Protocol is the platform's protocol for which the plug-in is used; empty
	// means ProtocolOwn.
	Protocol bbrsettings.Protocol
	Option   fx.Option
}

var plugins []Plugin

// Register adds a plug-in. It must be called from the init function of the
// plug-in's package.
func Register(plugin Plugin) { plugins = append(plugins, plugin) }

// pluginsByStage returns the plug-ins by stage, and within a stage in the order of
// registration.
func pluginsByStage() []Plugin {
	list := slices.Clone(plugins)
	slices.SortStableFunc(list, func(a, b Plugin) int { return int(a.Stage) - int(b.Stage) })
	return list
}

const (
	startTimeout = 15 * time.Second
	// stopMargin is the time allowed for stopping beyond the balancer's lag and the
	// grace period of requests in flight.
	stopMargin = 15 * time.Second
)

// Options returns the plug-ins for the platform's protocol as one option.
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

// Run starts the plug-ins, waits until ctx ends, and stops them in reverse order.
func Run(ctx context.Context, settings bbrsettings.Settings) error {
	app := fx.New(Options(settings))
	if err := app.Err(); err != nil {
		return errors.Wrap(err, "assembling the plug-ins")
	}
	startCtx, cancelStart := context.WithTimeout(ctx, app.StartTimeout())
	defer cancelStart()
	if err := app.Start(startCtx); err != nil {
		return errors.Wrap(err, "starting the plug-ins")
	}
	klog.InfoS("Started", "entry", settings.Entry, "zone", settings.Zone)
	<-ctx.Done()
	klog.InfoS("Stopping", "entry", settings.Entry)
	stopCtx, cancelStop := context.WithTimeout(context.WithoutCancel(ctx), app.StopTimeout())
	defer cancelStop()
	err := app.Stop(stopCtx)
	klog.InfoS("Stopped", "entry", settings.Entry)
	return errors.Wrap(err, "stopping the plug-ins")
}
