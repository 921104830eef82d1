// Command bluebellridge is the command-line client for operators.
package main

import (
	"context"
	"os"

	"github.com/bluebellridge/bluebellridge/internal/operator/bbrclient"
)

func main() {
	os.Exit(bbrclient.Main(context.Background(), os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}
