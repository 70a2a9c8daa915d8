package hitch

import (
	"io"
	"log/slog"

	"github.com/spf13/cobra"

	"dotterelhitch/internal/demo"
)

// newDemo returns the command that runs a whole cell in one process.
func newDemo() *cobra.Command {
	var logs bool
	cmd := &cobra.Command{
		Use:   "demo",
		Short: "Run a whole cell in this process and kill an entry midway",
		Long: `demo runs stand-ins for the platform and three entries in this one process.
Callers send lookups and tickets, a batch job and a gang run, and an entry is
killed midway. The demo takes less than a minute and ends by printing the waits, the
packing, the control bytes and the checker's result. The exit code is 0 only if the
checker found no violation.`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			logOutput := io.Discard
			if logs {
				logOutput = cmd.ErrOrStderr()
			}
			return demo.Run(cmd.Context(), cmd.OutOrStdout(), slog.New(slog.NewJSONHandler(logOutput, nil)))
		},
	}
	cmd.Flags().BoolVar(&logs, "logs", false, "print the entries' logs")
	return cmd
}
