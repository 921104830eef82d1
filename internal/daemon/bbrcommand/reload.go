package bbrcommand

import (
	"context"
	"os"
	"os/signal"
	"reflect"
	"syscall"

	"k8s.io/klog/v2"

	"github.com/bluebellridge/bluebellridge/internal/config/bbrsettings"
)

// reloader reads and checks the settings file on SIGHUP, and logs whether it differs
// from the settings in force. Those stay in force until the process is restarted.
type reloader struct {
	file     string
	settings bbrsettings.Settings
}

func (r *reloader) run(ctx context.Context) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
			r.reload()
		}
	}
}

func (r *reloader) reload() {
	settings, err := loadSettings(r.file)
	if err != nil {
		klog.ErrorS(err, "Failed to read settings", "file", r.file)
		return
	}
	klog.InfoS("Settings read", "file", r.file, "differ", !reflect.DeepEqual(settings, r.settings))
}
