package hitch

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"dotterelhitch/internal/command/cli"
	"dotterelhitch/internal/structs"
)

// printJob prints the status of one job with the reasons for its state.
func printJob(cmd *cobra.Command, s structs.JobStatus) error {
	return cli.Print(cmd, s, func(w io.Writer) error {
		fmt.Fprintf(w, "job %s: %s%s\n", s.Job.ID, s.State, lateText(s.MissesTarget))
		fmt.Fprintf(w, "class %s, %d tasks of %s, decided by %s\n",
			s.Job.Class, s.Job.Count, resourcesText(s.Job.Size), s.Owner)
		fmt.Fprintf(w, "tasks: %d pending, %d running, %d complete, %d failed, %d cancelled\n",
			s.Pending, s.Running, s.Complete, s.Failed, s.Cancelled)
		for _, reason := range s.Reasons {
			fmt.Fprintf(w, "why: %s\n", reason)
		}
		return printAllocs(w, s.Allocs)
	})
}

func lateText(late bool) string {
	if late {
		return ", late"
	}
	return ""
}

func printAllocs(w io.Writer, allocs []structs.Alloc) error {
	if len(allocs) == 0 {
		return nil
	}
	t := cli.NewTable(w, "TASK", "ATTEMPT", "WORKER", "STATE", "SIZE")
	for _, a := range allocs {
		t.Row(a.Task, a.Attempt, a.Worker, a.State, resourcesText(a.Size))
	}
	return t.Flush()
}
