package hitch

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/google/uuid"
	"github.com/spf13/cobra"

	"dotterelhitch/internal/caller"
	"dotterelhitch/internal/command/cli"
	"dotterelhitch/internal/event"
	"dotterelhitch/internal/structs"
)

// statusWait is how long one long poll of a job's status waits for the job to end.
const statusWait = 5 * time.Second

func newJobCommand(g *globals) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "job",
		Short: "Submit, watch and cancel jobs",
		Args:  cobra.NoArgs,
	}
	cmd.AddCommand(newJobSubmit(g), newJobStatus(g), newJobWait(g), newJobCancel(g))
	return cmd
}

// jobFlags are the flags that describe a job to submit.
type jobFlags struct {
	class    string
	team     string
	count    int
	size     sizeFlags
	runTime  time.Duration
	payload  string
	changeID string
	wait     bool
}

func newJobSubmit(g *globals) *cobra.Command {
	f := &jobFlags{}
	cmd := &cobra.Command{
		Use:   "submit",
		Short: "Submit a job of equal tasks",
		Long: `Submit a job of equal tasks and print its ID. The class decides whether the tasks
start one by one (service, batch) or all together (gang), and by when.`,
		Example: `  hitch job submit --class nightly --count 20 --cpu 2 --memory 1GiB --run-time 5m
  hitch job submit --class shift-summary --count 8 --cpu 4 --memory 2GiB --wait`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return submitJob(cmd, g, f)
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&f.class, "class", "", "class of work")
	flags.StringVar(&f.team, "team", "", "team whose quota the job uses (default the class's)")
	flags.IntVar(&f.count, "count", 1, "number of tasks")
	flags.DurationVar(&f.runTime, "run-time", 0, "declared run time of a task")
	flags.StringVar(&f.payload, "payload", "", "text that is handed to the worker as it is")
	flags.StringVar(&f.changeID, "id", "", "change ID: a repeat with the same ID submits nothing more")
	flags.BoolVar(&f.wait, "wait", false, "wait for the job's end")
	f.size.add(cmd)
	_ = cmd.MarkFlagRequired("class")
	return cmd
}

func submitJob(cmd *cobra.Command, g *globals, f *jobFlags) error {
	size, err := f.size.resources()
	if err != nil {
		return err
	}
	job := structs.Job{
		Class:   f.class,
		Team:    f.team,
		Count:   f.count,
		Size:    size,
		RunTime: structs.Duration(f.runTime),
		Payload: f.payload,
	}
	if err := job.Validate(); err != nil {
		return err
	}
	if f.changeID == "" {
		f.changeID = uuid.NewString()
	}
	var id string
	err = withCaller(cmd, g, func(ctx context.Context, client *caller.Client) error {
		id, err = client.SubmitJob(ctx, job, f.changeID)
		return err
	})
	if err != nil {
		return err
	}
	g.events.Record(event.Event{Type: event.CallerJobAccepted, Job: id, Class: job.Class, Count: job.Count})
	if f.wait {
		return waitJob(cmd, g, id)
	}
	return cli.Print(cmd, caller.JobAccepted{ID: id}, func(w io.Writer) error {
		_, err := fmt.Fprintln(w, id)
		return err
	})
}

func newJobStatus(g *globals) *cobra.Command {
	return &cobra.Command{
		Use:   "status JOB",
		Short: "Show the state of a job",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			var status structs.JobStatus
			err := withCaller(cmd, g, func(ctx context.Context, client *caller.Client) error {
				var err error
				status, err = client.JobStatus(ctx, args[0], 0)
				return err
			})
			if err != nil {
				return err
			}
			return printJob(cmd, status)
		},
	}
}

func newJobWait(g *globals) *cobra.Command {
	return &cobra.Command{
		Use:   "wait JOB",
		Short: "Wait for the end of a job",
		Long:  "Wait for the end of a job, at most --timeout. The exit code is 0 if every task\nended well, 9 if the job failed or was cancelled, 7 if it has not ended.",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return waitJob(cmd, g, args[0])
		},
	}
}

// waitJob polls the job's status until the job has ended or the timeout has passed.
func waitJob(cmd *cobra.Command, g *globals, id string) error {
	var status structs.JobStatus
	err := withCaller(cmd, g, func(ctx context.Context, client *caller.Client) error {
		var err error
		for {
			status, err = client.JobStatus(ctx, id, statusWait)
			if err != nil || isTerminal(status.State) {
				return err
			}
		}
	})
	if err != nil {
		return err
	}
	g.events.Record(event.Event{Type: event.CallerJobEnded, Job: id, Class: status.Job.Class, State: string(status.State)})
	if err := printJob(cmd, status); err != nil {
		return err
	}
	if status.State != structs.JobComplete {
		return structs.NewError(cli.CodeFailed, "job %s: %s", id, status.State)
	}
	return nil
}

// isTerminal reports whether a job in state s has ended.
func isTerminal(s structs.JobState) bool {
	return s == structs.JobComplete || s == structs.JobFailed || s == structs.JobCancelled
}

func newJobCancel(g *globals) *cobra.Command {
	var filter structs.JobFilter
	var changeID string
	cmd := &cobra.Command{
		Use:   "cancel [JOB]",
		Short: "Cancel one job, or all jobs of a class or team",
		Example: `  hitch job cancel casa-0:0c2f
  hitch job cancel --class nightly --team audit`,
		Args: cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if len(args) == 1 {
				filter.ID = args[0]
			}
			if err := filter.Validate(); err != nil {
				return err
			}
			return cancelJobs(cmd, g, filter, changeID)
		},
	}
	cmd.Flags().StringVar(&filter.Class, "class", "", "cancel jobs of this class")
	cmd.Flags().StringVar(&filter.Team, "team", "", "cancel jobs of this team")
	cmd.Flags().StringVar(&changeID, "id", "", "change ID: a repeat with the same ID cancels nothing more")
	return cmd
}

func cancelJobs(cmd *cobra.Command, g *globals, filter structs.JobFilter, changeID string) error {
	if changeID == "" {
		changeID = uuid.NewString()
	}
	var n int
	err := withCaller(cmd, g, func(ctx context.Context, client *caller.Client) error {
		var err error
		n, err = client.CancelJobs(ctx, filter, changeID)
		return err
	})
	if err != nil {
		return err
	}
	return cli.Print(cmd, caller.JobsCancelled{Cancelled: n}, func(w io.Writer) error {
		_, err := fmt.Fprintf(w, "cancelled %d jobs\n", n)
		return err
	})
}
