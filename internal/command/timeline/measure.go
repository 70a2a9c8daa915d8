package timeline

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"dotterelhitch/internal/command/cli"
	"dotterelhitch/internal/measure"
)

func newMeasureCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "measure FILE...",
		Short: "Print waits by class and how tightly work was packed",
		Long: `Print waits by class, from the entries' and the workers' own record, and how full
the workers were by the granted sizes of running tasks, on average over the time
from the first task's start to the last one's end.`,
		Example: "  hitch-timeline measure events/*.jsonl",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, files []string) error {
			events, err := readEvents(cmd, files)
			if err != nil {
				return err
			}
			report := measure.Measure(events)
			return cli.Print(cmd, report, func(w io.Writer) error {
				return printMeasures(w, report)
			})
		},
	}
}

func printMeasures(w io.Writer, r *measure.Report) error {
	t := cli.NewTable(w, "CLASS", "WAIT", "COUNT", "P50 MS", "P90 MS", "P99 MS", "MAX MS")
	for _, wait := range r.Waits {
		t.Row(wait.Class, wait.Kind, wait.Count, ms(wait.P50Ms), ms(wait.P90Ms), ms(wait.P99Ms), ms(wait.MaxMs))
	}
	if err := t.Flush(); err != nil {
		return err
	}
	p := r.Packing
	_, err := fmt.Fprintf(w, "\npacking over %.1f s on %d workers: processors %s (peak %s), memory %s (peak %s), accelerators %s\n",
		p.Seconds, p.Workers, percent(p.CPU), percent(p.PeakCPU), percent(p.Memory), percent(p.PeakMemory), percent(p.Accelerators))
	return err
}

func ms(v float64) string { return fmt.Sprintf("%.2f", v) }

func percent(share float64) string { return fmt.Sprintf("%.1f%%", 100*share) }
