package bbrclient

import (
	"context"
	"io"
	"os"
	"strings"
	"time"

	"github.com/alecthomas/kong"

	"github.com/bluebellridge/bluebellridge/internal/operator/bbrlanguage"
)

// Exit statuses.
const (
	ExitDone = 0
	// ExitRefused means that nothing was changed.
	ExitRefused = 1
	// ExitUsage means that the command line or the command is invalid.
	ExitUsage = 2
	// ExitPending means that the change is stored but not yet in force everywhere.
	ExitPending = 3
	// ExitUnknown means that it is not known whether the change was stored.
	ExitUnknown = 4
)

type arguments struct {
	Entry     string        `help:"Operators' address of an entry." env:"BLUEBELLRIDGE_ENTRY" default:"127.0.0.1:7201"`
	Token     string        `help:"Operators' token." env:"BLUEBELLRIDGE_TOKEN"`
	CA        string        `help:"File with the certificate authority of the entries; empty means plain HTTP." env:"BLUEBELLRIDGE_CA"`
	JSON      bool          `help:"Print JSON."`
	DryRun    bool          `help:"Only say what would happen."`
	Operation string        `help:"Operation ID; repeating a command with it has no further effect."`
	Timeout   time.Duration `help:"How long to wait for the entry." default:"30s"`
	Apply     string        `help:"Replace the configuration by this YAML file." type:"existingfile"`
	Command   []string      `arg:"" optional:"" help:"The command; without one, commands are read from a prompt."`
}

// Main runs the command line and returns the exit status.
func Main(ctx context.Context, args []string, in io.Reader, out, errors io.Writer) int {
	var a arguments
	parser, err := kong.New(&a, kong.Name("bluebellridge"), kong.Writers(out, errors),
		kong.Description("Queries and controls a bluebellridge fleet.\n\n"+bbrlanguage.Help),
		kong.Exit(func(int) { panic(helpShown{}) }))
	if err != nil {
		panic(err)
	}
	status := ExitDone
	if !parse(parser, args, errors, &status) {
		return status
	}
	client, err := newClient(a)
	if err != nil {
		_, _ = io.WriteString(errors, err.Error()+"\n")
		return ExitUsage
	}
	p := printer{out: out, errors: errors, json: a.JSON}
	switch {
	case a.Apply != "":
		data, err := os.ReadFile(a.Apply)
		if err != nil {
			_, _ = io.WriteString(errors, err.Error()+"\n")
			return ExitUsage
		}
		return p.print(client.apply(ctx, data))
	case len(a.Command) > 0:
		return p.print(client.run(ctx, strings.Join(quoteArguments(a.Command), " ")))
	default:
		return prompt(ctx, client, in, p)
	}
}

// helpShown is the panic value that ends parsing after kong has printed its help.
type helpShown struct{}

func parse(parser *kong.Kong, args []string, errors io.Writer, status *int) (ok bool) {
	defer func() {
		if r := recover(); r != nil {
			if _, shown := r.(helpShown); !shown {
				panic(r)
			}
			ok = false
		}
	}()
	if _, err := parser.Parse(args); err != nil {
		_, _ = io.WriteString(errors, err.Error()+"\n")
		*status = ExitUsage
		return false
	}
	return true
}

// quoteArguments restores the quotes that the shell removed from arguments with spaces.
func quoteArguments(words []string) []string {
	quoted := make([]string, len(words))
	for i, word := range words {
		quoted[i] = word
		if len(words) > 1 && strings.ContainsAny(word, " \t") {
			quoted[i] = `"` + word + `"`
		}
	}
	return quoted
}
