package entry

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"dotterelhitch/platform"
)

// newPlatform returns the command that runs an entry on the users' platform.
func newPlatform() *cobra.Command {
	var opts platform.Options
	cmd := &cobra.Command{
		Use:   "platform",
		Short: "Run an entry on the users' platform, with the settings that it hands out",
		Long: `Runs one member of a cell whose store, workers and settings are those of the users'
platform. The path of the settings is in ` + platform.SettingsEnv + `. SIGTERM ends it
gracefully, SIGHUP reads the settings again. Decisions are logged to standard output.`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			reload := make(chan os.Signal, 1)
			signal.Notify(reload, syscall.SIGHUP)
			defer signal.Stop(reload)
			return platform.Main(cmd.Context(), cmd.OutOrStdout(), reload, opts)
		},
	}
	cmd.Flags().BoolVar(&opts.LearnRunTimes, "learn-run-times", true,
		"expect run times by those of finished runs instead of the stated ones alone; has to be the same for all members")
	return cmd
}
