package timeline

import (
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"dotterelhitch/internal/checker"
	"dotterelhitch/internal/command/cli"
	"dotterelhitch/internal/structs"
)

// Default bounds: those that the system guarantees.
const (
	defaultLeavingBound = 5 * time.Second
	defaultConfigBound  = 15 * time.Second
)

func newCheckCommand() *cobra.Command {
	o := checker.Options{}
	cmd := &cobra.Command{
		Use:   "check FILE...",
		Short: "Find broken promises in the time line",
		Long: `Find broken promises in the time line. What ran is taken from the workers' own
record. The exit code is 0 if work was checked and nothing was found, else 9; a
run without any record of work is not a pass.

  over_give, task_in_two_places, task_run_after_end, wrong_answer,
  answer_without_run, run_after_not_run, second_run, work_on_leaving, cut_off,
  config_reverted, config_late; with --complete also job_lost, task_lost and
  request_lost`,
		Example: "  hitch-timeline check events/*.jsonl --complete",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, files []string) error {
			return check(cmd, files, o)
		},
	}
	flags := cmd.Flags()
	flags.DurationVar(&o.LeavingBound, "leaving-bound", defaultLeavingBound, "time after which a leaving endpoint gets no new work")
	flags.DurationVar(&o.ConfigBound, "config-bound", defaultConfigBound, "time within which an accepted change is in force everywhere, 0 to skip")
	flags.BoolVar(&o.RunEnded, "complete", false, "the run came to its end: everything accepted must have ended")
	return cmd
}

func check(cmd *cobra.Command, files []string, o checker.Options) error {
	events, err := readEvents(cmd, files)
	if err != nil {
		return err
	}
	report := checker.Check(events, o)
	err = cli.Print(cmd, report, func(w io.Writer) error {
		return printReport(w, report)
	})
	if err != nil {
		return err
	}
	if report.Empty() {
		return structs.NewError(cli.CodeFailed, "no worker recorded any work: nothing was checked")
	}
	if !report.OK() {
		return structs.NewError(cli.CodeFailed, "%d violations", len(report.Violations))
	}
	return nil
}

func printReport(w io.Writer, r *checker.Report) error {
	for _, v := range r.Violations {
		fmt.Fprintf(w, "%s: %s\n", v.Kind, v.Message)
		indent(w, v.Events)
	}
	c := r.Checked
	t := cli.NewTable(w, "CHECKED", "NUMBER")
	t.Row("events", c.Events)
	t.Row("workers", c.Workers)
	t.Row("task runs", c.TaskRuns)
	t.Row("request runs", c.RequestRuns)
	t.Row("answers", c.Answers)
	t.Row("not run", c.NotRun)
	t.Row("unknown", c.Unknown)
	t.Row("non-idempotent requests", c.NonIdempotent)
	t.Row("leaving declarations", c.LeavingDeclarations)
	t.Row("graceful shutdowns", c.Drains)
	t.Row("configuration changes", c.ConfigChanges)
	t.Row("configurations in force", c.ConfigsInForce)
	t.Row("jobs", c.Jobs)
	t.Row("faults injected", c.Faults)
	t.Row("violations", len(r.Violations))
	return t.Flush()
}
