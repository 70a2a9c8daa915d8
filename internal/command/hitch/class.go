package hitch

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"dotterelhitch/internal/command/cli"
	"dotterelhitch/internal/operator"
	"dotterelhitch/internal/structs"
)

func newClassCommand(g *globals) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "class",
		Short: "Set and show the target of each class of work",
		Args:  cobra.NoArgs,
	}
	cmd.AddCommand(newClassSet(g), newClassGet(g), newClassList(g))
	return cmd
}

// classFlags are the flags that set the properties of a class.
type classFlags struct {
	kind   string
	team   string
	answer time.Duration
	start  time.Duration
	finish time.Duration
	base   int64
}

// baseFlag is the name of the flag with the version that a change is based on.
const baseFlag = "base"

func newClassSet(g *globals) *cobra.Command {
	f := &classFlags{}
	cmd := &cobra.Command{
		Use:   "set NAME",
		Short: "Set the target of a class",
		Long: `Set the target of a class; properties without a flag keep their value.

The change is based on the version that is current when the command runs, or on
--base. If another operator's change was accepted first, nothing is changed, the
value in force is printed and the exit code is 3.`,
		Example: `  hitch class set lookups --kind service --answer-within 300ms
  hitch class set nightly --kind batch --finish-within 2h
  hitch class set shift-summary --kind gang --start-within 30s --base 17`,
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return setClass(cmd, g, f, args[0])
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&f.kind, "kind", "", "service, batch or gang")
	flags.StringVar(&f.team, "team", "", "team whose quota the class uses")
	flags.DurationVar(&f.answer, "answer-within", 0, "time from a request's arrival to its answer")
	flags.DurationVar(&f.start, "start-within", 0, "time from a job's acceptance to its tasks' start")
	flags.DurationVar(&f.finish, "finish-within", 0, "time from a job's acceptance to its end")
	flags.Int64Var(&f.base, baseFlag, 0, "version that the change is based on (default the current one)")
	return cmd
}

func setClass(cmd *cobra.Command, g *globals, f *classFlags, name string) error {
	ctx, cancel := context.WithTimeout(cmd.Context(), g.timeout)
	defer cancel()
	client, err := g.operatorClient()
	if err != nil {
		return err
	}
	class, err := currentClass(ctx, client, name)
	if err != nil {
		return err
	}
	base := class.Version
	if cmd.Flags().Changed(baseFlag) {
		base = f.base
	}
	f.apply(cmd, &class)
	if err := class.Validate(); err != nil {
		return err
	}
	change, err := client.SetClass(ctx, class, base)
	if err != nil {
		return err
	}
	return printChange(cmd, "class "+name, change)
}

// currentClass returns the class in force, or a class with only its name if none
// is set.
func currentClass(ctx context.Context, client *operator.Client, name string) (structs.Class, error) {
	class, err := client.Class(ctx, name)
	if structs.CodeOf(err) == structs.CodeNotFound {
		return structs.Class{Name: name}, nil
	}
	return class, err
}

// apply sets the properties of class whose flags were given on the command line.
func (f *classFlags) apply(cmd *cobra.Command, class *structs.Class) {
	changed := cmd.Flags().Changed
	if changed("kind") {
		class.Kind = structs.Kind(f.kind)
	}
	if changed("team") {
		class.Team = f.team
	}
	if changed("answer-within") {
		class.Target.AnswerWithin = structs.Duration(f.answer)
	}
	if changed("start-within") {
		class.Target.StartWithin = structs.Duration(f.start)
	}
	if changed("finish-within") {
		class.Target.FinishWithin = structs.Duration(f.finish)
	}
}

func newClassGet(g *globals) *cobra.Command {
	return &cobra.Command{
		Use:   "get NAME",
		Short: "Show one class",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return withOperator(cmd, g, func(ctx context.Context, client *operator.Client) error {
				class, err := client.Class(ctx, args[0])
				if err != nil {
					return err
				}
				return printClasses(cmd, class, []structs.Class{class})
			})
		},
	}
}

func newClassList(g *globals) *cobra.Command {
	return &cobra.Command{
		Use:   "list",
		Short: "Show all classes",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return withOperator(cmd, g, func(ctx context.Context, client *operator.Client) error {
				classes, err := client.Classes(ctx)
				if err != nil {
					return err
				}
				return printClasses(cmd, operator.ClassList{Classes: classes}, classes)
			})
		},
	}
}

func printClasses(cmd *cobra.Command, asJSON any, classes []structs.Class) error {
	return cli.Print(cmd, asJSON, func(w io.Writer) error {
		t := cli.NewTable(w, "CLASS", "KIND", "TEAM", "TARGET", "VERSION")
		for _, c := range classes {
			t.Row(c.Name, c.Kind, c.Team, targetText(c.Target), c.Version)
		}
		return t.Flush()
	})
}

// targetText renders the bounds that a target sets, separated by commas.
func targetText(target structs.Target) string {
	var parts []string
	add := func(name string, d structs.Duration) {
		if d != 0 {
			parts = append(parts, fmt.Sprintf("%s %s", name, d.AsDuration()))
		}
	}
	add("answer within", target.AnswerWithin)
	add("start within", target.StartWithin)
	add("finish within", target.FinishWithin)
	return strings.Join(parts, ", ")
}
