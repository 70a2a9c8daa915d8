// Command hitch-entry is the daemon of an entry instance.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"dotterelhitch/internal/command/cli"
	"dotterelhitch/internal/command/entry"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := cli.Run(ctx, entry.New(), os.Args[1:], cli.Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr})
	stop()
	os.Exit(code)
}
