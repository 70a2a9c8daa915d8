package hitch

import (
	"context"

	"github.com/spf13/cobra"

	"dotterelhitch/internal/operator"
)

func newExplainCommand(g *globals) *cobra.Command {
	return &cobra.Command{
		Use:     "explain JOB",
		Short:   "Explain why a job waits, is late or was parked",
		Example: "  hitch explain casa-0:0c2f",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return withOperator(cmd, g, func(ctx context.Context, client *operator.Client) error {
				status, err := client.Explain(ctx, args[0])
				if err != nil {
					return err
				}
				return printJob(cmd, status)
			})
		},
	}
}
