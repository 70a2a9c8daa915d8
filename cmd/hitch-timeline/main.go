// Command hitch-timeline merges and checks the event logs of a run.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"dotterelhitch/internal/command/cli"
	"dotterelhitch/internal/command/timeline"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := cli.Run(ctx, timeline.New(), os.Args[1:], cli.Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr})
	stop()
	os.Exit(code)
}
