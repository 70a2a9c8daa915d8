// Package cli holds what the command-line programs share: how a command runs,
// how a failure is printed and which exit code it gives.
package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"dotterelhitch/internal/structs"
)

// Streams are the standard streams of a command.
type Streams struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
}

// Run executes a root command and returns the exit code of the process. A
// failure before the command's own code starts is a usage error.
func Run(ctx context.Context, root *cobra.Command, args []string, s Streams) int {
	started := false
	root.PersistentPreRun = func(*cobra.Command, []string) { started = true }
	root.SilenceErrors = true
	root.SilenceUsage = true
	root.SetArgs(args)
	root.SetIn(s.In)
	root.SetOut(s.Out)
	root.SetErr(s.Err)
	cmd, err := root.ExecuteContextC(ctx)
	if err == nil {
		return ExitOK
	}
	if !started {
		fmt.Fprintf(s.Err, "error: %v\nSee '%s --help'.\n", err, cmd.CommandPath())
		return ExitUsage
	}
	printError(s.Err, err, wantsJSON(cmd))
	return ExitCode(err)
}

// JSONFlag is the name of the flag that asks for JSON output.
const JSONFlag = "json"

// AddJSONFlag adds the flag to a command and its subcommands.
func AddJSONFlag(cmd *cobra.Command) {
	cmd.PersistentFlags().Bool(JSONFlag, false, "print JSON instead of text")
}

func wantsJSON(cmd *cobra.Command) bool {
	wanted, err := cmd.Flags().GetBool(JSONFlag)
	return err == nil && wanted
}

// Print writes v as JSON if the JSON flag is set, else calls text.
func Print(cmd *cobra.Command, v any, text func(io.Writer) error) error {
	if !wantsJSON(cmd) {
		return text(cmd.OutOrStdout())
	}
	enc := json.NewEncoder(cmd.OutOrStdout())
	enc.SetIndent("", "  ")
	if err := enc.Encode(v); err != nil {
		return structs.NewError(structs.CodeInternal, "output: %v", err)
	}
	return nil
}

// errorOutput is the JSON form of a failure on the error stream.
type errorOutput struct {
	Error *structs.Error `json:"error"`
}

func printError(w io.Writer, err error, asJSON bool) {
	e := structs.AsError(err)
	if asJSON {
		_ = json.NewEncoder(w).Encode(errorOutput{Error: e})
		return
	}
	fmt.Fprintf(w, "error: %s\n", e.Error())
	if e.RetryAfterMs > 0 {
		fmt.Fprintf(w, "try again after %d ms\n", e.RetryAfterMs)
	}
}
