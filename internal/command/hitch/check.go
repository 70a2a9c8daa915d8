package hitch

import (
	stderrors "errors"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"dotterelhitch/internal/command/cli"
	"dotterelhitch/internal/settings"
	"dotterelhitch/internal/structs"
)

// checkOutput is the JSON output of the check command.
type checkOutput struct {
	Files    int                `json:"files"`
	Problems []settings.Problem `json:"problems"`
}

func newCheckCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "check FILE...",
		Short:   "Check the settings of entries without starting them",
		Long:    "Check the settings of entries without starting them. Every problem is printed\nwith its file and line; the exit code is 9 if there is any.",
		Example: "  hitch check examples/raqm-tasalsul/casa-1.toml",
		Args:    cobra.MinimumNArgs(1),
		RunE:    checkFiles,
	}
}

func checkFiles(cmd *cobra.Command, files []string) error {
	out := checkOutput{Files: len(files), Problems: []settings.Problem{}}
	for _, file := range files {
		_, err := settings.Load(file)
		var problems *settings.Problems
		if stderrors.As(err, &problems) {
			out.Problems = append(out.Problems, problems.List...)
		}
	}
	err := cli.Print(cmd, out, func(w io.Writer) error {
		for _, p := range out.Problems {
			fmt.Fprintln(w, p)
		}
		if len(out.Problems) == 0 {
			fmt.Fprintf(w, "%d files are good\n", out.Files)
		}
		return nil
	})
	if err != nil {
		return err
	}
	if len(out.Problems) > 0 {
		return structs.NewError(cli.CodeFailed, "%d problems", len(out.Problems))
	}
	return nil
}
