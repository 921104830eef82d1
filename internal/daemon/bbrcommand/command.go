package bbrcommand

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"sync"
	"syscall"

	"github.com/alecthomas/kong"
	"k8s.io/klog/v2"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrlog"
	"github.com/bluebellridge/bluebellridge/internal/config/bbrsettings"
	"github.com/bluebellridge/bluebellridge/internal/daemon/bbrkernel"
	"github.com/bluebellridge/bluebellridge/internal/operator/bbrapi"

	// Importing a plug-in's package registers the plug-in.
	_ "github.com/bluebellridge/bluebellridge/internal/daemon/bbrcore"
	_ "github.com/bluebellridge/bluebellridge/internal/daemon/bbrserve"
	_ "github.com/bluebellridge/bluebellridge/internal/fleet/bbrcoordinator"
	_ "github.com/bluebellridge/bluebellridge/internal/fleet/bbrmember"
	_ "github.com/bluebellridge/bluebellridge/internal/peer/bbrlink"
	_ "github.com/bluebellridge/bluebellridge/internal/request/bbrgateway"
)

// Exit statuses.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// arguments are the commands of the daemon, parsed by kong.
type arguments struct {
	Run    runCommand    `cmd:"" help:"Run an entry."`
	Check  checkCommand  `cmd:"" help:"Check a settings file and print every fault."`
	Config configCommand `cmd:"" name:"check-config" help:"Check a file with the shared configuration and print every fault."`
}

type runCommand struct {
	File string `arg:"" type:"existingfile" help:"Settings of the entry."`
}

type checkCommand struct {
	File string `arg:"" type:"existingfile" help:"Settings of an entry."`
}

type configCommand struct {
	File string `arg:"" type:"existingfile" help:"Shared configuration."`
}

// output contains the writers for commands' output, which kong passes to Run.
type output struct {
	out, errors io.Writer
}

// Main runs the command line with the arguments after the program's name, and
// returns the exit status.
func Main(args []string, out, errors io.Writer) (status int) {
	var parsed arguments
	exitStatus := -1
	parser, err := kong.New(&parsed, kong.Name("bluebellridged"), kong.Writers(out, errors),
		kong.Description("Entry daemon of bluebellridge."), kong.Exit(func(code int) { exitStatus = code }))
	if err != nil {
		panic(err)
	}
	command, err := parser.Parse(args)
	if exitStatus >= 0 {
		return exitStatus
	}
	if err != nil {
		fmt.Fprintln(errors, err)
		return exitUsage
	}
	if err := command.Run(output{out: out, errors: errors}); err != nil {
		fmt.Fprintln(errors, err)
		return exitFailed
	}
	return exitOK
}

// loadSettings reads and checks a settings file. The error lists every fault.
func loadSettings(file string) (bbrsettings.Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return bbrsettings.Settings{}, err
	}
	settings, faults := bbrsettings.Parse(data)
	return settings, joinFaults(file, faults)
}

// Run runs an entry until the process receives SIGTERM or SIGINT.
func (c *runCommand) Run() error {
	settings, err := loadSettings(c.File)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	writer := bbrlog.New(os.Stdout)
	writer.Install()
	logCtx, cancelLog := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { writer.Run(logCtx) })
	defer func() {
		klog.Flush()
		cancelLog()
		wg.Wait()
	}()
	reload := &reloader{file: c.File, settings: settings}
	wg.Go(func() { reload.run(logCtx) })
	return bbrkernel.Run(ctx, settings)
}

// Run checks a settings file.
func (c *checkCommand) Run(o output) error {
	if _, err := loadSettings(c.File); err != nil {
		return err
	}
	fmt.Fprintln(o.out, c.File+": good")
	return nil
}

// Run checks a file with the shared configuration.
func (c *configCommand) Run(o output) error {
	data, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	_, faults := bbrapi.ParseConfig(data)
	if err := joinFaults(c.File, faults); err != nil {
		return err
	}
	fmt.Fprintln(o.out, c.File+": good")
	return nil
}
