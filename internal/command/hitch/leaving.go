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

func newLeavingCommand(g *globals) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "leaving",
		Short: "Declare instances as leaving: they get no new work",
		Args:  cobra.NoArgs,
	}
	cmd.AddCommand(newLeavingAdd(g), newLeavingRemove(g), newLeavingList(g))
	return cmd
}

func newLeavingAdd(g *globals) *cobra.Command {
	var gone, unlisted bool
	cmd := &cobra.Command{
		Use:   "add INSTANCE",
		Short: "Declare an instance as leaving",
		Long: `Declare an instance (worker or entry) as leaving. It gets no new work a few
seconds after the command says accepted; what it runs goes on.

--gone confirms that the instance no longer runs anything, so that its tasks may
start elsewhere. Give it only for an instance that you know is off: if the instance
is still running, its tasks run twice.

An instance that is neither a member nor in the platform's list is refused, as its
name may be mistyped; --unlisted declares it nevertheless.`,
		Example: "  hitch leaving add casa-1-rack3-w07\n  hitch leaving add casa-1-rack3-w07 --gone",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return changeLeaving(cmd, g, structs.LeavingDeclaration{Instance: args[0], ConfirmedStopped: gone, Unlisted: unlisted}, false)
		},
	}
	cmd.Flags().BoolVar(&gone, "gone", false, "confirm that the instance no longer runs anything")
	cmd.Flags().BoolVar(&unlisted, "unlisted", false, "declare an instance that is not in the platform's list")
	return cmd
}

func newLeavingRemove(g *globals) *cobra.Command {
	return &cobra.Command{
		Use:   "remove INSTANCE",
		Short: "Remove a declaration: the instance gets new work again",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return changeLeaving(cmd, g, structs.LeavingDeclaration{Instance: args[0]}, true)
		},
	}
}

func changeLeaving(cmd *cobra.Command, g *globals, l structs.LeavingDeclaration, remove bool) error {
	return withOperator(cmd, g, func(ctx context.Context, client *operator.Client) error {
		base, declared, err := leavingVersion(ctx, client, l.Instance)
		if err != nil {
			return err
		}
		if !declared && remove {
			return structs.NewError(structs.CodeNotFound, "instance %s is not declared as leaving", l.Instance)
		}
		change, err := client.SetLeaving(ctx, l, remove, base)
		if err == nil && conflictsWithRemoval(change) && !remove {
			change, err = client.SetLeaving(ctx, l, false, change.Version)
		}
		if err != nil {
			return err
		}
		return printChange(cmd, "leaving "+l.Instance, change)
	})
}

// leavingVersion returns the version of an instance's declaration and whether there
// is one; the version is zero without a declaration.
func leavingVersion(ctx context.Context, client *operator.Client, instance string) (int64, bool, error) {
	all, err := client.Leavings(ctx)
	if err != nil {
		return 0, false, err
	}
	i := slices.IndexFunc(all, func(l structs.LeavingDeclaration) bool { return l.Instance == instance })
	if i < 0 {
		return 0, false, nil
	}
	return all[i].Version, true, nil
}

// conflictsWithRemoval reports whether the change conflicted with the removal of a
// declaration. The list does not contain the version of a removal, so the first
// attempt can't be based on it.
func conflictsWithRemoval(change operator.Change) bool {
	return !change.Accepted && change.Current == nil
}

func newLeavingList(g *globals) *cobra.Command {
	return &cobra.Command{
		Use:   "list",
		Short: "Show the instances declared as leaving",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return withOperator(cmd, g, func(ctx context.Context, client *operator.Client) error {
				all, err := client.Leavings(ctx)
				if err != nil {
					return err
				}
				return cli.Print(cmd, operator.LeavingList{Declarations: all}, func(w io.Writer) error {
					t := cli.NewTable(w, "INSTANCE", "STATE", "VERSION")
					for _, l := range all {
						t.Row(l.Instance, leavingText(l), l.Version)
					}
					return t.Flush()
				})
			})
		},
	}
}

func leavingText(l structs.LeavingDeclaration) string {
	if l.ConfirmedStopped {
		return "gone"
	}
	return "leaving"
}
