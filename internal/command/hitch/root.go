// Package hitch is the command line of operators and callers.
package hitch

import (
	"time"

	"github.com/spf13/cobra"

	"dotterelhitch/internal/command/cli"
	"dotterelhitch/internal/event"
	"dotterelhitch/internal/operator"
)

// Environment variables that are read if the corresponding flag is not given.
const (
	operatorEnv    = "HITCH_OPERATOR"
	callerEnv      = "HITCH_CALLER"
	operatorKeyEnv = "HITCH_OPERATOR_KEY"
)

// defaultTimeout bounds one call including all of its retries.
const defaultTimeout = 30 * time.Second

// globals are the flags of every command.
type globals struct {
	operators []string
	callers   []string
	keyFile   string
	timeout   time.Duration
	// eventsFile is the path of the event log; events is nil if it is empty.
	eventsFile string
	events     *event.Recorder
}

// New returns the root command; extra commands are added to it.
func New(extra ...*cobra.Command) *cobra.Command {
	g := &globals{}
	root := &cobra.Command{
		Use:   "hitch",
		Short: "Operate a dotterelhitch cell and send work to it",
		Long: `hitch connects to the entries of a dotterelhitch cell.

Operators set a target for each class of work and declare instances as leaving; the
system schedules the work accordingly. Callers submit jobs and send requests.

Every entry accepts all commands: if several addresses are given, they are tried in
turn.

  export HITCH_OPERATOR=10.1.1.10:8081,10.1.2.10:8081
  export HITCH_CALLER=10.1.1.10:8080,10.1.2.10:8080
  hitch class set lookups --kind service --answer-within 300ms
  hitch job submit --class nightly --count 20 --cpu 2 --memory 1GiB --run-time 5m
  hitch status

See 'hitch COMMAND --help'; docs/CLI.md lists the exit codes.`,
	}
	flags := root.PersistentFlags()
	flags.StringSliceVar(&g.operators, "operator", nil, "operators' addresses of entries, host:port or URL (default $"+operatorEnv+")")
	flags.StringSliceVar(&g.callers, "caller", nil, "callers' addresses of entries, host:port or URL (default $"+callerEnv+")")
	flags.StringVar(&g.keyFile, "key-file", "", "file with the operators' shared key (default $"+operatorKeyEnv+")")
	flags.DurationVar(&g.timeout, "timeout", defaultTimeout, "give up after this time")
	flags.StringVar(&g.eventsFile, "events", "", "append the requests sent and the answers received to this event log, for hitch-timeline")
	cli.AddJSONFlag(root)
	root.AddCommand(
		newDemo(),
		newClassCommand(g),
		newQuotaCommand(g),
		newLeavingCommand(g),
		newStatusCommand(g),
		newJobCommand(g),
		newRequestCommand(g),
		newExplainCommand(g),
		newCheckCommand(),
	)
	root.AddCommand(extra...)
	return root
}

// operatorClient returns the client of the operators' interface.
func (g *globals) operatorClient() (*operator.Client, error) {
	servers, err := addresses(g.operators, operatorEnv, "--operator")
	if err != nil {
		return nil, err
	}
	keys, err := readKeys(g.keyFile, operatorKeyEnv)
	if err != nil {
		return nil, err
	}
	if err := g.openEvents(); err != nil {
		return nil, err
	}
	return &operator.Client{ServerURLs: servers, HTTP: g.httpClient(), Keys: keys, Events: g.events}, nil
}
