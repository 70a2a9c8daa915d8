package standin

import (
	"time"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"dotterelhitch/internal/standin"
	"dotterelhitch/internal/structs"
)

// workerFlags describe one worker or a group of equal ones.
type workerFlags struct {
	group       standin.WorkerGroup
	serviceTime time.Duration
	usageLag    time.Duration
	listBase    string
}

func (f *workerFlags) register(flags *pflag.FlagSet) {
	g := &f.group
	flags.StringVar(&g.Host, "host", "127.0.0.1", "`ADDRESS` to listen on")
	flags.IntVar(&g.Port, "port", 0, "port of the first worker, rising by one; 0 takes any free ones")
	flags.StringVar(&g.Region, "region", "casa", "region of the instance")
	flags.StringVar(&g.Domain, "domain", "casa-a", "failure domain of the instance")
	flags.IntVar(&g.RackSize, "rack-size", 8, "number of workers in a rack")
	flags.Float64Var(&g.Cores, "cores", 16, "processors")
	flags.Float64Var(&g.MemoryGiB, "memory-gib", 64, "memory in GiB")
	flags.Int64Var(&g.Accelerators, "accelerators", 0, "accelerators")
	flags.IntVar(&g.Slots, "slots", 8, "requests that run at a time")
	flags.IntVar(&g.Connections, "connections", 64, "open connections that are accepted")
	flags.DurationVar(&f.serviceTime, "service-time", 20*time.Millisecond, "how long a request runs that states no time")
	flags.DurationVar(&f.usageLag, "usage-lag", 2*time.Second, "how long after a task's start its usage shows")
	flags.StringVar(&f.listBase, "list", "", "`URL` of an instance list to join, such as http://127.0.0.1:4001")
}

func (f *workerFlags) run(cmd *cobra.Command, common *commonFlags) error {
	f.group.ServiceTime = structs.Duration(f.serviceTime)
	f.group.UsageLag = structs.Duration(f.usageLag)
	return common.runCell(cmd, f.listBase, func(c *standin.Cell) error { return c.StartWorkers(f.group) })
}

const workerLong = `A worker runs tasks under leases and answers requests as docs/PLATFORM.md says.
How a task behaves follows from its payload, words with spaces between:

  fail               it fails
  fail-on:w1,w2      it fails on these workers
  usage:cpu=1,mem=1  what it uses as a factor of its granted size
  use:cpu=500,mem=300,spread=0.3,seed=7,grow=200
                     what it uses whatever it is granted: the means over the tasks
                     of the job in thousandths of a core and MiB, their spread as
                     the standard deviation of the logarithm, and the milliseconds
                     over which memory grows; a worker without memory left kills
  run:2.5            its run time as a factor of the declared one
  checkpoint         it can save its progress when it is stopped

A request's body may begin with "answer-bytes=N;" and "service-ms=N;".

Admin paths on the worker's address:
  POST /admin/faults {"fail_all":true,"slow":10,"lose_stops":1,"lose_starts":1,
                      "lose_answers":1,"service_ms":50}   (any of them)
  POST /admin/pause  {"pause_ms":2000}
  POST /admin/drain
  GET  /admin/status`

func newWorker(common *commonFlags) *cobra.Command {
	f := &workerFlags{}
	var id string
	cmd := &cobra.Command{
		Use:     "worker",
		Short:   "Run one worker with its endpoint",
		Long:    workerLong,
		Example: "  hitch-standin worker --id casa-a-w0 --list http://127.0.0.1:4001 --events w0.jsonl",
		Args:    noArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			f.group.Name = id
			f.group.Count = 1
			return f.run(cmd, common)
		},
	}
	cmd.Flags().StringVar(&id, "id", "w0", "name of the instance")
	cmd.Flags().StringVar(&f.group.Advertise, "advertise", "", "`ADDRESS` that the list gives instead, such as that of a relay")
	f.register(cmd.Flags())
	return cmd
}

func newWorkers(common *commonFlags) *cobra.Command {
	f := &workerFlags{}
	cmd := &cobra.Command{
		Use:     "workers",
		Short:   "Run many workers in one process, each on a port of its own",
		Long:    workerLong,
		Example: "  hitch-standin workers --count 50 --prefix casa-a-w --list http://127.0.0.1:4001",
		Args:    noArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return f.run(cmd, common)
		},
	}
	cmd.Flags().IntVar(&f.group.Count, "count", 8, "number of workers")
	cmd.Flags().StringVar(&f.group.Prefix, "prefix", "w", "the workers' names begin with this and end with a number")
	f.register(cmd.Flags())
	return cmd
}
