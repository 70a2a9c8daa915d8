// Command hitch is the command line of operators and callers.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"dotterelhitch/internal/command/cli"
	"dotterelhitch/internal/command/hitch"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := cli.Run(ctx, hitch.New(), os.Args[1:], cli.Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr})
	stop()
	os.Exit(code)
}
