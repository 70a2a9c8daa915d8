// Command hitch-load runs load experiments against a cell.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"dotterelhitch/internal/command/cli"
	"dotterelhitch/internal/command/load"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := cli.Run(ctx, load.New(), os.Args[1:], cli.Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr})
	stop()
	os.Exit(code)
}
