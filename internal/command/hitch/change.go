package hitch

import (
	"context"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"dotterelhitch/internal/command/cli"
	"dotterelhitch/internal/operator"
	"dotterelhitch/internal/structs"
)

// withOperator calls f with a client of the operators' interface and a context
// that ends after the timeout.
func withOperator(cmd *cobra.Command, g *globals, f func(context.Context, *operator.Client) error) error {
	ctx, cancel := context.WithTimeout(cmd.Context(), g.timeout)
	defer cancel()
	client, err := g.operatorClient()
	if err != nil {
		return err
	}
	return f(ctx, client)
}

// printChange prints the version of an accepted change. For a change that
// conflicted with an earlier one, it prints the value in force and returns an
// error of CodeConflict.
func printChange(cmd *cobra.Command, what string, change operator.Change) error {
	err := cli.Print(cmd, change, func(w io.Writer) error {
		if change.Accepted {
			fmt.Fprintf(w, "accepted: %s, version %d\n", what, change.Version)
			return nil
		}
		fmt.Fprintf(w, "not accepted: %s, version %d came first: %s\n", what, change.Version, valueText(change.Current))
		return nil
	})
	if err != nil || change.Accepted {
		return err
	}
	return structs.NewError(structs.CodeConflict, "another change to %s was accepted first", what)
}

// valueText renders the class, quota or leaving declaration in force on one line.
func valueText(v any) string {
	switch value := v.(type) {
	case *structs.Class:
		return fmt.Sprintf("%s, %s", value.Kind, targetText(value.Target))
	case *structs.Quota:
		return resourcesText(value.Limit)
	case *structs.LeavingDeclaration:
		return leavingText(*value)
	default:
		return "the value was removed"
	}
}
