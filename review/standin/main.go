// Command standin plays the platform, the minions and the clients around bluebellridge's
// own processes for one case of the review, and judges what these saw.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Exit codes of a case.
const (
	exitHeld     = 0
	exitBroken   = 1
	exitNotShown = 2
)

// recorded bounds the violations that the record names.
const recorded = 30

// limit bounds a case.
const limit = 115 * time.Second

// cases by name. A case returns the violations of its rule.
var cases = map[string]func(folder, program, record string, trouble bool) ([]string, error){
	"ends":   runEnds,
	"reborn": runReborn,
	"repeat": runRepeat,
	"due":    runDue,
	"deadly": runDeadly,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE PROGRAM RECORD")
		return exitNotShown
	}
	program, err := filepath.Abs(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotShown
	}
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotShown
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(folder)
	}
	violations, err := cases[os.Args[1]](folder, program, os.Args[3], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Println("the case could not run:", err)
		return exitNotShown
	}
	if len(violations) == 0 {
		fmt.Println("the rule held")
		return exitHeld
	}
	fmt.Printf("%d violations, the first: %s\n", len(violations), violations[0])
	return exitBroken
}

// finish ends the entries, writes the violations to the record and returns them.
func (w *world) finish(violations []string) []string {
	w.stopAll()
	for _, v := range violations[:min(len(violations), recorded)] {
		w.log.note("%s", v)
	}
	w.log.note("%d violations", len(violations))
	return violations
}
