package hitch

import (
	"context"
	"io"
	"slices"

	"github.com/spf13/cobra"

	"dotterelhitch/internal/command/cli"
	"dotterelhitch/internal/operator"
	"dotterelhitch/internal/structs"
)

func newQuotaCommand(g *globals) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "quota",
		Short: "Set and show the limit on the resources of all running tasks of a team",
		Args:  cobra.NoArgs,
	}
	cmd.AddCommand(newQuotaSet(g), newQuotaList(g))
	return cmd
}

func newQuotaSet(g *globals) *cobra.Command {
	var size sizeFlags
	var base int64
	cmd := &cobra.Command{
		Use:     "set TEAM",
		Short:   "Set the quota of a team",
		Long:    "Set the quota of a team. If another operator's change was accepted first, nothing\nis changed, the value in force is printed and the exit code is 3.",
		Example: "  hitch quota set audit --cpu 200 --memory 512GiB --accelerators 4",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			limit, err := size.resources()
			if err != nil {
				return err
			}
			return withOperator(cmd, g, func(ctx context.Context, client *operator.Client) error {
				if !cmd.Flags().Changed(baseFlag) {
					base, err = quotaVersion(ctx, client, args[0])
					if err != nil {
						return err
					}
				}
				change, err := client.SetQuota(ctx, structs.Quota{Team: args[0], Limit: limit}, base)
				if err != nil {
					return err
				}
				return printChange(cmd, "quota of team "+args[0], change)
			})
		},
	}
	size.add(cmd)
	cmd.Flags().Int64Var(&base, baseFlag, 0, "version that the change is based on (default the current one)")
	return cmd
}

func quotaVersion(ctx context.Context, client *operator.Client, team string) (int64, error) {
	quotas, err := client.Quotas(ctx)
	if err != nil {
		return 0, err
	}
	i := slices.IndexFunc(quotas, func(q structs.Quota) bool { return q.Team == team })
	if i < 0 {
		return 0, nil
	}
	return quotas[i].Version, nil
}

func newQuotaList(g *globals) *cobra.Command {
	return &cobra.Command{
		Use:   "list",
		Short: "Show all quotas",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return withOperator(cmd, g, func(ctx context.Context, client *operator.Client) error {
				quotas, err := client.Quotas(ctx)
				if err != nil {
					return err
				}
				return cli.Print(cmd, operator.QuotaList{Quotas: quotas}, func(w io.Writer) error {
					t := cli.NewTable(w, "TEAM", "LIMIT", "VERSION")
					for _, q := range quotas {
						t.Row(q.Team, resourcesText(q.Limit), q.Version)
					}
					return t.Flush()
				})
			})
		},
	}
}
