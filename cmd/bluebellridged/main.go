// Command bluebellridged is the entry daemon.
package main

import (
	"os"

	"github.com/bluebellridge/bluebellridge/internal/daemon/bbrcommand"
)

func main() { os.Exit(bbrcommand.Main(os.Args[1:], os.Stdout, os.Stderr)) }
