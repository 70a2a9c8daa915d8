// Package timeline is the command line that merges, filters and checks the event
// logs of a run.
package timeline

import (
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"dotterelhitch/internal/command/cli"
	"dotterelhitch/internal/event"
	"dotterelhitch/internal/structs"
	tl "dotterelhitch/internal/timeline"
)

// New returns the root command.
func New() *cobra.Command {
	root := &cobra.Command{
		Use:   "hitch-timeline",
		Short: "Merge the event logs of all processes into one time line",
		Long: `hitch-timeline reads the event logs (JSON lines) of entries, workers and tools and
puts them into one order by the hybrid logical clock that travels on every
message. 'show' prints it, 'check' finds broken promises in it,
'measure' prints waits and packing.

A last line that a killed process cut off is skipped and told; any other line
that is no event is an error with its file and line.`,
	}
	cli.AddJSONFlag(root)
	root.AddCommand(newShowCommand(), newCheckCommand(), newMeasureCommand())
	return root
}

// showFlags are the flags of the show subcommand, before the types and times are
// parsed.
type showFlags struct {
	filter tl.Filter
	types  []string
	from   string
	to     string
}

func newShowCommand() *cobra.Command {
	f := &showFlags{}
	cmd := &cobra.Command{
		Use:   "show FILE...",
		Short: "Print the time line, or a selection",
		Example: `  hitch-timeline show events/*.jsonl --request r-17
  hitch-timeline show events/*.jsonl --job casa-0:0c2f --type task_run,task_end
  hitch-timeline show events/*.jsonl --from 2026-03-01T10:00:00Z --json`,
		Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, files []string) error {
			return show(cmd, f, files)
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&f.filter.Request, "request", "", "only this request, by the caller's ID or the system's")
	flags.StringVar(&f.filter.Key, "key", "", "only this idempotency key")
	flags.StringVar(&f.filter.Task, "task", "", "only this task")
	flags.StringVar(&f.filter.Worker, "worker", "", "only this worker")
	flags.StringVar(&f.filter.Job, "job", "", "only this job and its tasks")
	flags.StringVar(&f.filter.Member, "member", "", "only this member")
	flags.StringVar(&f.filter.Proc, "proc", "", "only what this process recorded")
	flags.StringSliceVar(&f.types, "type", nil, "only these types, such as task_run,task_end")
	flags.StringVar(&f.from, "from", "", "only from this time on (RFC 3339)")
	flags.StringVar(&f.to, "to", "", "only before this time (RFC 3339)")
	return cmd
}

func show(cmd *cobra.Command, f *showFlags, files []string) error {
	filter, err := f.parse()
	if err != nil {
		return err
	}
	events, err := readEvents(cmd, files)
	if err != nil {
		return err
	}
	selected := filter.Select(events)
	if asJSON, _ := cmd.Flags().GetBool(cli.JSONFlag); asJSON {
		return tl.WriteJSON(cmd.OutOrStdout(), selected)
	}
	return tl.WriteText(cmd.OutOrStdout(), selected)
}

// readEvents merges the event logs and prints a warning to the error stream for each file
// whose last line is truncated.
func readEvents(cmd *cobra.Command, files []string) ([]event.Event, error) {
	events, logs, err := tl.ReadFiles(files)
	if err != nil {
		return nil, err
	}
	for _, log := range logs {
		if log.Truncated {
			fmt.Fprintf(cmd.ErrOrStderr(), "%s: the last line is cut off\n", log.File)
		}
	}
	return events, nil
}

func (f *showFlags) parse() (tl.Filter, error) {
	filter := f.filter
	for _, t := range f.types {
		filter.Types = append(filter.Types, event.Type(t))
	}
	var err error
	if filter.From, err = parseTime(f.from); err != nil {
		return tl.Filter{}, err
	}
	filter.To, err = parseTime(f.to)
	return filter, err
}

func parseTime(s string) (time.Time, error) {
	if s == "" {
		return time.Time{}, nil
	}
	at, err := time.Parse(time.RFC3339Nano, s)
	if err != nil {
		return time.Time{}, structs.NewError(structs.CodeInvalid, "time %q: want RFC 3339, such as 2026-03-01T10:00:00Z", s)
	}
	return at, nil
}

// indent writes the events of a violation below it.
func indent(w io.Writer, events []event.Event) {
	for _, e := range events {
		fmt.Fprintf(w, "    %s\n", tl.Text(e))
	}
}
