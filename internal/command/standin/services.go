package standin

import (
	"time"

	"github.com/spf13/cobra"

	"dotterelhitch/internal/standin"
	"dotterelhitch/internal/structs"
)

const defaultListen = "127.0.0.1:0"

func newLog(common *commonFlags) *cobra.Command {
	var s standin.LogSettings
	var retention, delay time.Duration
	cmd := &cobra.Command{
		Use:     "log",
		Short:   "Run the log service",
		Example: "  hitch-standin log --listen 127.0.0.1:4000 --appends-per-second 400",
		Args:    noArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s.Retention = structs.Duration(retention)
			s.Delay = structs.Duration(delay)
			if err := (standin.Topology{Log: s}).Validate(); err != nil {
				return err
			}
			return common.runCell(cmd, "", func(c *standin.Cell) error { return c.StartLog(s) })
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&s.Listen, "listen", defaultListen, "`ADDRESS` to listen on; port 0 takes a free one")
	flags.Float64Var(&s.AppendsPerSecond, "appends-per-second", 0, "limit of appends a second; 0 is no limit")
	flags.DurationVar(&retention, "retention", 0, "how long a record is kept; 0 is for ever")
	flags.DurationVar(&delay, "delay", 0, "delay added to every call")
	return cmd
}

func newList(common *commonFlags) *cobra.Command {
	var s standin.ListSettings
	var lag time.Duration
	cmd := &cobra.Command{
		Use:     "list",
		Short:   "Run the instance list",
		Example: "  hitch-standin list --listen 127.0.0.1:4001 --lag 2s",
		Args:    noArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s.Lag = structs.Duration(lag)
			if err := (standin.Topology{List: s}).Validate(); err != nil {
				return err
			}
			return common.runCell(cmd, "", func(c *standin.Cell) error { return c.StartList(s) })
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&s.Listen, "listen", defaultListen, "`ADDRESS` to listen on; port 0 takes a free one")
	flags.DurationVar(&lag, "lag", 0, "how long a change takes to show")
	return cmd
}

func newAll(common *commonFlags) *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use:     "all",
		Short:   "Run the log service, the instance list and workers from a topology file",
		Long:    allLong,
		Example: "  hitch-standin all --topology cell.toml --addr-file addresses.json",
		Args:    noArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			t, err := standin.ReadTopology(path)
			if err != nil {
				return err
			}
			return common.runCell(cmd, "", func(c *standin.Cell) error { return c.StartAll(t) })
		},
	}
	cmd.Flags().StringVar(&path, "topology", "", "TOML `FILE` that describes the stand-ins")
	_ = cmd.MarkFlagRequired("topology")
	return cmd
}

const allLong = `Runs the log service, the instance list and all workers of a topology file:

  [log]
  listen = "127.0.0.1:4000"
  appends_per_second = 400
  retention = "24h"
  [list]
  listen = "127.0.0.1:4001"
  lag = "2s"
  [[workers]]
  prefix = "casa-a-w"   # names casa-a-w0, casa-a-w1 and so on
  count = 17
  region = "casa"
  domain = "casa-a"
  rack_size = 8
  cores = 16
  memory_gib = 64
  accelerators = 0
  slots = 8
  connections = 64
  service_time = "20ms"
  usage_lag = "2s"`
