// Package standin is the command line of hitch-standin.
package standin

import (
	"context"
	"io"
	"log/slog"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"dotterelhitch/internal/structs"
)

// Exit codes.
const (
	ExitOK = 0
	// ExitFailed means that a stand-in could not start or run.
	ExitFailed = 1
	// ExitUsage means that flags or a topology file are wrong.
	ExitUsage = 2
)

const rootLong = `hitch-standin runs small stand-ins for the platform that dotterelhitch uses:
the log service, the instance list, workers with their endpoints, and a TCP relay
that delays, limits, cuts or silences connections. They are for tests and the
demo: everything is kept in memory.

Every stand-in prints one JSON line to standard output once it listens:
  {"type":"ready","addresses":[{"name":"log","addr":"127.0.0.1:4000"}]}
and writes its logs to standard error. SIGTERM shuts it down gracefully: a worker
answers the requests in flight and stops its tasks first.

Faults are switched through HTTP at the /admin/ paths of each address, for example:
  curl -d '{"outage":"hang"}'   http://127.0.0.1:4000/admin/faults

Exit codes: 0 ended by a signal, 1 failed, 2 wrong flags or topology.`

// Main runs the command line and returns the exit code.
func Main(args []string, out, errOut io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	slog.SetDefault(slog.New(slog.NewJSONHandler(errOut, nil)))
	root := newRoot()
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errOut)
	err := root.ExecuteContext(ctx)
	if err == nil {
		return ExitOK
	}
	slog.Error("hitch-standin failed", "error", err)
	if structs.CodeOf(err) == structs.CodeInvalid {
		return ExitUsage
	}
	return ExitFailed
}

func newRoot() *cobra.Command {
	common := &commonFlags{}
	root := &cobra.Command{
		Use:           "hitch-standin",
		Short:         "Run stand-ins for the platform",
		Long:          rootLong,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error {
		return structs.NewError(structs.CodeInvalid, "%v", err)
	})
	common.register(root.PersistentFlags())
	root.AddCommand(newLog(common), newList(common), newWorker(common), newWorkers(common), newAll(common), newRelay(common))
	return root
}

// noArgs refuses arguments with a typed error.
func noArgs(_ *cobra.Command, args []string) error {
	if len(args) == 0 {
		return nil
	}
	return structs.NewError(structs.CodeInvalid, "unexpected argument %q", args[0])
}
