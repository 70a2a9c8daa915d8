package hitch

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/google/uuid"
	"github.com/spf13/cobra"

	"dotterelhitch/internal/caller"
	"dotterelhitch/internal/command/cli"
	"dotterelhitch/internal/event"
	"dotterelhitch/internal/structs"
)

// requestFlags state one request.
type requestFlags struct {
	key        string
	idempotent bool
	body       string
	deadline   time.Duration
}

func newRequestCommand(g *globals) *cobra.Command {
	f := &requestFlags{}
	cmd := &cobra.Command{
		Use:   "request CLASS",
		Short: "Send one request and print its answer",
		Long: `Send one request and print its answer.

The outcome is one of three: answered (exit code 0), not run (5) and unknown (6):
an endpoint may have run it. A request with --key runs at most once, also if it
is sent again with the same key. Another entry is tried only if the request
certainly was not run.`,
		Example: `  hitch request lookups --idempotent --body 'range 4711'
  hitch request tickets --key bale-2209 --body - < ticket.json`,
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return sendRequest(cmd, g, f, args[0])
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&f.key, "key", "", "idempotency key: the request runs at most once")
	flags.BoolVar(&f.idempotent, "idempotent", false, "running the request twice does no harm")
	flags.StringVar(&f.body, "body", "", "body, or - to read it from the input")
	flags.DurationVar(&f.deadline, "deadline", 0, "time that the system may take (default its own)")
	return cmd
}

func sendRequest(cmd *cobra.Command, g *globals, f *requestFlags, class string) error {
	clients, err := g.callerClients()
	if err != nil {
		return err
	}
	body, err := readBody(cmd, f.body)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(cmd.Context(), g.timeout)
	defer cancel()
	call := caller.Call{Class: class, Key: f.key, Idempotent: f.idempotent, Body: body, Deadline: f.deadline}
	call.ClientID = uuid.NewString()
	g.events.Record(event.Event{Type: event.CallerRequestSent, Request: call.ClientID, Key: f.key, Class: class, Idempotent: f.idempotent})
	answer := sendInTurn(ctx, clients, call)
	g.events.Record(gotEvent(call, answer))
	if err := printAnswer(cmd, answer); err != nil {
		return err
	}
	return answerError(answer)
}

// gotEvent is the record of what the caller was told; it can't know which answer
// to expect.
func gotEvent(call caller.Call, a structs.Answer) event.Event {
	e := event.Event{
		Type:    event.CallerRequestEnded,
		Request: call.ClientID,
		Key:     call.Key,
		Class:   call.Class,
		Outcome: a.Outcome,
		Detail:  a.RequestID,
	}
	if a.Err != nil {
		e.Code = a.Err.Code
	}
	if a.Outcome == structs.OutcomeAnswered {
		e.Digest = event.Digest(a.Body)
		e.Bytes = len(a.Body)
	}
	return e
}

// sendInTurn tries another entry only after a certain not run that is the
// entry's own trouble.
func sendInTurn(ctx context.Context, clients []*caller.Client, call caller.Call) structs.Answer {
	var answer structs.Answer
	for _, client := range clients {
		answer = client.Do(ctx, call)
		if answer.Outcome != structs.OutcomeNotRun || answer.Err == nil || !otherEntryMayAnswer(answer.Err) {
			return answer
		}
	}
	return answer
}

func printAnswer(cmd *cobra.Command, a structs.Answer) error {
	return cli.Print(cmd, a, func(w io.Writer) error {
		if a.Outcome == structs.OutcomeAnswered {
			_, err := fmt.Fprintf(w, "%s\n", a.Body)
			return err
		}
		_, err := fmt.Fprintf(w, "%s: request %s\n", a.Outcome, a.RequestID)
		return err
	})
}

// answerError gives an outcome that is not an answer the exit code it stands
// for, whatever the code of its cause.
func answerError(a structs.Answer) error {
	switch a.Outcome {
	case structs.OutcomeAnswered:
		return nil
	case structs.OutcomeNotRun:
		return outcomeError(a, cli.CodeNotRun)
	default:
		return outcomeError(a, structs.CodeUnknown)
	}
}

func outcomeError(a structs.Answer, code structs.Code) error {
	out := &structs.Error{Code: code, Message: "no reason given"}
	if a.Err != nil {
		out.Message = a.Err.Error()
		out.RetryAfterMs = a.Err.RetryAfterMs
	}
	return out
}
