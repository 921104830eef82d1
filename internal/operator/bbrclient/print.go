package bbrclient

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrcode"
	"github.com/bluebellridge/bluebellridge/internal/operator/bbrapi"
)

type printer struct {
	out, errors io.Writer
	json        bool
}

// print prints a result or an error, and returns the exit status for it.
func (p printer) print(result bbrapi.Result, err error) int {
	if err != nil {
		fmt.Fprintf(p.errors, "no response from the entry; it is unknown whether the command took effect: %v\n", err)
		return ExitUnknown
	}
	switch {
	case p.json:
		encoder := json.NewEncoder(p.out)
		encoder.SetIndent("", "  ")
		_ = encoder.Encode(result)
	case result.Code == bbrcode.Done || result.Code == bbrcode.DryRun:
		p.table(result)
	default:
		p.refusal(result)
	}
	return exitStatus(result.Code)
}

func (p printer) table(result bbrapi.Result) {
	if len(result.Columns) > 0 {
		writer := tabwriter.NewWriter(p.out, 0, 0, 2, ' ', 0)
		fmt.Fprintln(writer, strings.ToUpper(strings.Join(result.Columns, "\t")))
		for _, row := range result.Rows {
			fmt.Fprintln(writer, strings.Join(row, "\t"))
		}
		_ = writer.Flush()
	}
	if result.Text != "" {
		fmt.Fprintln(p.out, result.Text)
	}
	if len(result.Columns) == 0 && result.Text == "" {
		fmt.Fprintln(p.out, result.Name)
	}
}

func (p printer) refusal(result bbrapi.Result) {
	place := ""
	if result.Place != "" {
		place = " at " + result.Place
	}
	fmt.Fprintf(p.errors, "%d %s%s: %s\n", result.Code, result.Name, place, result.Text)
	if result.Code == bbrcode.WriteUnknown || result.Code == bbrcode.StoredNotInForce {
		fmt.Fprintf(p.errors, "operation %s\n", result.Operation)
	}
}

func exitStatus(code bbrcode.Code) int {
	switch code {
	case bbrcode.Done, bbrcode.DryRun:
		return ExitDone
	case bbrcode.Syntax:
		return ExitUsage
	case bbrcode.StoredNotInForce:
		return ExitPending
	case bbrcode.WriteUnknown, bbrcode.ZoneUnreachable:
		return ExitUnknown
	default:
		return ExitRefused
	}
}

// prompt executes commands from the input until it ends or one is exit or quit, and
// returns the exit status of the last command.
func prompt(ctx context.Context, c *client, in io.Reader, p printer) int {
	lastStatus := ExitDone
	scanner := bufio.NewScanner(in)
	for {
		fmt.Fprint(p.out, "bluebellridge> ")
		if !scanner.Scan() {
			fmt.Fprintln(p.out)
			return lastStatus
		}
		line := strings.TrimSpace(scanner.Text())
		switch line {
		case "":
		case "exit", "quit":
			return lastStatus
		default:
			lastStatus = p.print(c.run(ctx, line))
		}
	}
}
