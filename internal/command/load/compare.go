package load

import (
	"io"

	"github.com/spf13/cobra"

	"dotterelhitch/internal/command/cli"
	"dotterelhitch/internal/load"
)

func newCompareCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "compare A.json B.json",
		Short:   "Compare two reports",
		Example: "  hitch-load compare runs/fifo/report.json runs/slack/report.json",
		Args:    cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			reports, err := readReports(args)
			if err != nil {
				return err
			}
			c := load.Compare(reports[0], reports[1])
			return cli.Print(cmd, c, func(w io.Writer) error { return load.WriteComparison(w, c) })
		},
	}
}

func newPlotCommand() *cobra.Command {
	var out string
	cmd := &cobra.Command{
		Use:     "plot REPORT.json...",
		Short:   "Draw the waits of one or more reports into one plot",
		Example: "  hitch-load plot runs/*/report.json --out waits.png",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			reports, err := readReports(args)
			if err != nil {
				return err
			}
			return load.PlotLatencies(out, reports...)
		},
	}
	cmd.Flags().StringVar(&out, "out", waitsFile, "file to write; its ending chooses svg, png or pdf")
	return cmd
}

func readReports(paths []string) ([]*load.Report, error) {
	var reports []*load.Report
	for _, path := range paths {
		r, err := load.ReadReport(path)
		if err != nil {
			return nil, err
		}
		reports = append(reports, r)
	}
	return reports, nil
}
