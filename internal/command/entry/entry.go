// Package entry is the command line of hitch-entry.
package entry

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"os"

	"github.com/spf13/cobra"

	entrycore "dotterelhitch/internal/entry"
	"dotterelhitch/internal/settings"
	"dotterelhitch/internal/structs"
)

// New returns the root command of hitch-entry.
func New() *cobra.Command {
	var path, addrFile string
	root := &cobra.Command{
		Use:   "hitch-entry --settings FILE",
		Short: "Run an entry instance: callers, operators, placement and dispatch",
		Long: `hitch-entry runs one entry instance from its settings alone. It joins the other
entries through the platform's log, serves callers and operators, and places work
on workers. On SIGTERM the entry drains: it refuses new calls, answers the requests
in flight and hands its workers and jobs over to other entries.

Check settings without starting: hitch check FILE`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return run(cmd.Context(), path, addrFile, cmd.ErrOrStderr())
		},
	}
	root.Flags().StringVar(&path, "settings", "", "settings file in TOML")
	root.Flags().StringVar(&addrFile, "addr-file", "", "write the bound addresses to this file as JSON")
	_ = root.MarkFlagRequired("settings")
	root.AddCommand(newPlatform())
	return root
}

// Addresses is the content of the file that --addr-file names.
type Addresses struct {
	Member   string `json:"member"`
	Peer     string `json:"peer"`
	Caller   string `json:"caller"`
	Operator string `json:"operator"`
	Metrics  string `json:"metrics"`
}

func run(ctx context.Context, path, addrFile string, logOutput io.Writer) error {
	s, err := settings.Load(path)
	if err != nil {
		return err
	}
	events, err := openEvents(s.EventsFile)
	if err != nil {
		return err
	}
	if events != nil {
		defer events.Close()
	}
	cfg := entrycore.Config{Settings: *s, Logger: newLogger(s.LogLevel, logOutput)}
	if events != nil {
		cfg.Events = events
	}
	e, err := entrycore.New(cfg)
	if err != nil {
		return err
	}
	if err := writeAddresses(addrFile, e); err != nil {
		return err
	}
	cancelLeave := context.AfterFunc(ctx, e.Leave)
	defer cancelLeave()
	return e.Run(context.WithoutCancel(ctx))
}

func openEvents(path string) (*os.File, error) {
	if path == "" {
		return nil, nil
	}
	f, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, structs.NewError(structs.CodeUnavailable, "event log: %v", err)
	}
	return f, nil
}

func newLogger(level string, w io.Writer) *slog.Logger {
	var l slog.Level
	if err := l.UnmarshalText([]byte(level)); err != nil {
		l = slog.LevelInfo
	}
	return slog.New(slog.NewJSONHandler(w, &slog.HandlerOptions{Level: l}))
}

// writeAddresses replaces the file atomically, so that a reader never sees partial
// content.
func writeAddresses(path string, e *entrycore.Entry) error {
	if path == "" {
		return nil
	}
	b, err := json.Marshal(Addresses{
		Member:   e.Member().ID,
		Peer:     e.Member().PeerAddr,
		Caller:   e.CallerAddr(),
		Operator: e.OperatorAddr(),
		Metrics:  e.MetricsAddr(),
	})
	if err != nil {
		return structs.NewError(structs.CodeInternal, "addresses: %v", err)
	}
	if err := os.WriteFile(path+".tmp", b, 0o644); err != nil {
		return structs.NewError(structs.CodeUnavailable, "addresses: %v", err)
	}
	if err := os.Rename(path+".tmp", path); err != nil {
		return structs.NewError(structs.CodeUnavailable, "addresses: %v", err)
	}
	return nil
}
