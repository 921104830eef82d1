// Command bbrstandin runs stand-ins for the platform, upstreams and callers. It is
// for development and tests only.
package main

import (
	"os"

	"github.com/bluebellridge/bluebellridge/internal/standin/bbrprogram"
)

func main() { os.Exit(bbrprogram.Main(os.Args[1:], os.Stdout, os.Stderr)) }
