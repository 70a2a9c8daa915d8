package hitch

import (
	"context"
	"fmt"
	"io"
	"strings"

	"github.com/spf13/cobra"

	"dotterelhitch/internal/command/cli"
	"dotterelhitch/internal/operator"
	"dotterelhitch/internal/structs"
)

func newStatusCommand(g *globals) *cobra.Command {
	return &cobra.Command{
		Use:   "status",
		Short: "Show members, owners, workers, queues and classes that miss their target",
		Long: `Show the status that one entry collects from all members: members with their epoch
and configuration version, workers with their owner, queues, and the classes that
miss or will miss their target, with the reason. Members that did not answer are
listed.`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return withOperator(cmd, g, func(ctx context.Context, client *operator.Client) error {
				status, err := client.Status(ctx)
				if err != nil {
					return err
				}
				return cli.Print(cmd, status, func(w io.Writer) error {
					return printStatus(w, status)
				})
			})
		},
	}
}

func printStatus(w io.Writer, s structs.CellStatus) error {
	if err := printEntries(w, s.Entries); err != nil {
		return err
	}
	if err := printWorkers(w, s.Entries); err != nil {
		return err
	}
	printMissedTargets(w, s.Entries)
	for _, e := range s.Entries {
		for _, alarm := range e.Alarms {
			fmt.Fprintf(w, "alarm: %s: %s\n", e.Member.ID, alarm)
		}
	}
	for _, m := range s.Unresponsive {
		fmt.Fprintf(w, "no answer: %s\n", m)
	}
	return nil
}

func printEntries(w io.Writer, entries []structs.EntryStatus) error {
	t := cli.NewTable(w, "MEMBER", "REGION", "DOMAIN", "GROUP", "EPOCH", "CONFIG", "STATE",
		"LOG AGE", "WORKERS", "JOBS", "TASKS WAIT", "REQUESTS WAIT")
	for _, e := range entries {
		t.Row(e.Member.ID, e.Member.Region, e.Member.Domain, e.Group, e.Epoch, e.ConfigVersion, entryState(e),
			fmt.Sprintf("%d ms", e.LogAgeMs), len(e.Workers), e.JobsOwned, e.QueuedTasks, e.QueuedRequests)
	}
	return t.Flush()
}

func entryState(e structs.EntryStatus) string {
	switch {
	case e.Draining:
		return "draining"
	case !e.HasAuthority:
		return "no authority"
	default:
		return "ready"
	}
}

func printWorkers(w io.Writer, entries []structs.EntryStatus) error {
	fmt.Fprintln(w)
	t := cli.NewTable(w, "WORKER", "OWNER", "DOMAIN", "RACK", "USED", "SIZE", "SLOTS", "TASKS", "STATE")
	for _, e := range entries {
		for _, s := range e.Workers {
			t.Row(s.Worker.ID, s.Owner, s.Worker.Domain, s.Worker.Rack,
				resourcesText(s.Used), resourcesText(s.Worker.Size),
				fmt.Sprintf("%d/%d", s.SlotsUsed, s.Worker.Slots), s.Tasks, workerState(s))
		}
	}
	return t.Flush()
}

// workerState lists every condition that prevents a worker from getting new work,
// or returns "ready" without any.
func workerState(s structs.WorkerStatus) string {
	var states []string
	add := func(applies bool, name string) {
		if applies {
			states = append(states, name)
		}
	}
	add(!s.Reachable, "unreachable")
	add(!s.InventoryRead, "inventory unread")
	add(s.Leaving, "leaving")
	add(s.Probation, "probation")
	add(s.FormerOwnerMayAssign, "former owner may act")
	if len(states) == 0 {
		return "ready"
	}
	return strings.Join(states, ", ")
}

func printMissedTargets(w io.Writer, entries []structs.EntryStatus) {
	fmt.Fprintln(w)
	late := 0
	for _, e := range entries {
		for _, l := range e.MissedTargets {
			late++
			fmt.Fprintf(w, "late: class %s at %s, %d waiting: %s\n", l.Class, e.Member.ID, l.AffectedCount, l.Reason)
		}
	}
	if late == 0 {
		fmt.Fprintln(w, "late: nothing")
	}
}
