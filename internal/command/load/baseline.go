package load

import (
	"context"
	"encoding/json"
	"net"
	"os"

	"github.com/spf13/cobra"

	"dotterelhitch/internal/caller"
	"dotterelhitch/internal/load"
	"dotterelhitch/internal/structs"
)

// baselineInFlight bounds the baseline's open requests. The bound is far above the
// number of requests that its queue reaches before the callers' deadlines pass.
const baselineInFlight = 100_000

// baselineFlags are the flags of the baseline subcommand.
type baselineFlags struct {
	listen   string
	addrFile string
	workers  []string
	slots    int
	seed     uint64
}

func newBaselineCommand() *cobra.Command {
	f := &baselineFlags{}
	cmd := &cobra.Command{
		Use:   "baseline",
		Short: "Answer requests by a FIFO queue and random endpoints, for comparison",
		Long: `Stand in place of a cell's entries: one FIFO queue without a bound, the head of
which goes to a random endpoint with a free slot. The workers must be used by no cell.
Jobs and classes are not known to it.`,
		Example: "  hitch-load baseline --worker 127.0.0.1:9001,127.0.0.1:9002 --slots 8",
		Args:    cobra.NoArgs,
		RunE:    func(cmd *cobra.Command, _ []string) error { return runBaseline(cmd.Context(), f) },
	}
	flags := cmd.Flags()
	flags.StringVar(&f.listen, "listen", "127.0.0.1:0", "callers' address")
	flags.StringVar(&f.addrFile, "addr-file", "", "write the callers' address as JSON to this `FILE`")
	flags.StringSliceVar(&f.workers, "worker", nil, "addresses of workers")
	flags.IntVar(&f.slots, "slots", 8, "slots of a worker")
	flags.Uint64Var(&f.seed, "seed", 1, "seed of the choice of endpoints")
	return cmd
}

func runBaseline(ctx context.Context, f *baselineFlags) error {
	if len(f.workers) == 0 || f.slots <= 0 {
		return structs.NewError(structs.CodeInvalid, "want addresses of workers and a number of slots")
	}
	l, err := net.Listen("tcp", f.listen)
	if err != nil {
		return structs.NewError(structs.CodeInvalid, "listen: %v", err)
	}
	if err := writeAddr(f.addrFile, l.Addr().String()); err != nil {
		return err
	}
	server := caller.NewServer(load.NewBaseline(f.workers, f.slots, f.seed), caller.Options{
		MaxInFlight:    baselineInFlight,
		MaxConnections: baselineInFlight,
	})
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	return server.Serve(l)
}

// writeAddr writes the callers' address in the format of an entry's address file.
func writeAddr(file, addr string) error {
	if file == "" {
		return nil
	}
	b, err := json.Marshal(map[string]string{"caller": addr})
	if err != nil {
		return structs.NewError(structs.CodeInvalid, "address: %v", err)
	}
	if err := os.WriteFile(file, b, 0o644); err != nil {
		return structs.NewError(structs.CodeInvalid, "address file: %v", err)
	}
	return nil
}
