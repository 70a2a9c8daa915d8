// Package load is the command line that runs experiments and compares reports.
package load

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"strings"

	"github.com/juju/errors"
	"github.com/spf13/cobra"

	"dotterelhitch/internal/command/cli"
	"dotterelhitch/internal/event"
	"dotterelhitch/internal/httpx"
	"dotterelhitch/internal/load"
	"dotterelhitch/internal/structs"
)

// Environment variables with shared keys.
const (
	operatorKeyEnv = "HITCH_OPERATOR_KEY"
	adminKeyEnv    = "HITCH_PLATFORM_KEY"
)

// Names of the files of a run.
const (
	reportFile   = "report.json"
	markdownFile = "report.md"
	eventsFile   = "events.jsonl"
	waitsFile    = "waits.svg"
	ratesFile    = "rates.svg"
)

// New returns the root command.
func New() *cobra.Command {
	root := &cobra.Command{
		Use:   "hitch-load",
		Short: "Run load experiments against a cell",
		Long: `hitch-load sends requests and jobs to a cell as an experiment file states: open
loop, that is at the stated times whatever the answers, and measures waits from
the time at which a caller meant to send. The seed decides every arrival.`,
	}
	cli.AddJSONFlag(root)
	root.AddCommand(newRunCommand(), newCompareCommand(), newPlotCommand(), newBaselineCommand())
	return root
}

// runFlags are the flags of the run subcommand. They override the experiment file,
// so that one file can be used with several cells.
type runFlags struct {
	out     string
	targets []string
	seed    uint64
}

func newRunCommand() *cobra.Command {
	f := &runFlags{}
	cmd := &cobra.Command{
		Use:   "run EXPERIMENT.toml",
		Short: "Run an experiment and write its report",
		Long: `Run an experiment. The directory --out gets report.json, report.md, waits.svg,
rates.svg and events.jsonl, the callers' record for hitch-timeline. The exit code
is 9 if an answer was wrong.

$HITCH_OPERATOR_KEY signs the setting of classes, $HITCH_PLATFORM_KEY the faults.`,
		Example: "  hitch-load run examples/load/counter.toml --out runs/counter-1",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return run(cmd, f, args[0])
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&f.out, "out", "load-report", "directory for the report, made if missing")
	flags.StringSliceVar(&f.targets, "target", nil, "callers' addresses instead of those in the file")
	flags.Uint64Var(&f.seed, "seed", 0, "seed instead of the one in the file")
	return cmd
}

func run(cmd *cobra.Command, f *runFlags, file string) error {
	experiment, err := f.read(cmd, file)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(f.out, 0o755); err != nil {
		return structs.NewError(structs.CodeInvalid, "directory: %v", err)
	}
	events, err := os.Create(filepath.Join(f.out, eventsFile))
	if err != nil {
		return structs.NewError(structs.CodeInvalid, "event log: %v", err)
	}
	defer events.Close()
	report, err := load.Run(cmd.Context(), experiment, load.Options{
		Events:       event.NewRecorder(load.ProcName, &event.Clock{}, events),
		OperatorKeys: envKeys(operatorKeyEnv),
		AdminKeys:    envKeys(adminKeyEnv),
		Logger:       slog.New(slog.NewJSONHandler(cmd.ErrOrStderr(), nil)),
	})
	if err != nil {
		return err
	}
	if err := writeFiles(f.out, report); err != nil {
		return err
	}
	err = cli.Print(cmd, report, func(w io.Writer) error { return load.WriteMarkdown(w, report) })
	if err != nil {
		return err
	}
	return verdict(cmd.Context(), report)
}

// read reads the experiment file and applies the flags that override it.
func (f *runFlags) read(cmd *cobra.Command, file string) (*load.Experiment, error) {
	experiment, err := load.ReadFile(file)
	if err != nil {
		return nil, err
	}
	if len(f.targets) > 0 {
		experiment.Targets = f.targets
	}
	if cmd.Flags().Changed("seed") {
		experiment.Seed = f.seed
	}
	return experiment, nil
}

func envKeys(name string) httpx.Keys {
	key := strings.TrimSpace(os.Getenv(name))
	if key == "" {
		return nil
	}
	return httpx.Keys{key}
}

func writeFiles(dir string, report *load.Report) error {
	b, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		return errors.Trace(err)
	}
	if err := os.WriteFile(filepath.Join(dir, reportFile), append(b, '\n'), 0o644); err != nil {
		return errors.Trace(err)
	}
	text, err := os.Create(filepath.Join(dir, markdownFile))
	if err != nil {
		return errors.Trace(err)
	}
	defer text.Close()
	if err := load.WriteMarkdown(text, report); err != nil {
		return err
	}
	if err := load.PlotLatencies(filepath.Join(dir, waitsFile), report); err != nil {
		return err
	}
	return load.PlotRates(filepath.Join(dir, ratesFile), report)
}

// verdict returns an error if the run was stopped early or received a wrong answer.
func verdict(ctx context.Context, report *load.Report) error {
	if ctx.Err() != nil {
		return structs.NewError(cli.CodeFailed, "stopped before the end")
	}
	for _, s := range report.Streams {
		if s.WrongAnswers > 0 {
			return structs.NewError(cli.CodeFailed, "stream %s: %d wrong answers", s.Name, s.WrongAnswers)
		}
	}
	return nil
}
