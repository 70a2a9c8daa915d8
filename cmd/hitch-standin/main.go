// Command hitch-standin runs small stand-ins for the platform, for tests and the
// demo.
package main

import (
	"os"

	"dotterelhitch/internal/command/standin"
)

func main() {
	os.Exit(standin.Main(os.Args[1:], os.Stdout, os.Stderr))
}
