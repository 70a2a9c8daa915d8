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

// requestFlags are the flags that describe one request.
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

The outcome is one of three: answered (exit code 0), not run (5) and unknown (6),
which means that an endpoint may have run the request. A request with --key runs at
most once, even if it is sent again with the same key. Another entry is tried only
if the request certainly was not run.`,
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
	flags.StringVar(&f.body, "body", "", "body, or - to read it from standard input")
	flags.DurationVar(&f.deadline, "deadline", 0, "time within which the system must answer (default set by the system)")
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
	answer := sendWithFailover(ctx, clients, call)
	g.events.Record(requestEndedEvent(call, answer))
	if err := printAnswer(cmd, answer); err != nil {
		return err
	}
	return answerError(answer)
}

// requestEndedEvent returns the event that records the answer the caller received. The
// event has no expected answer, because the command line doesn't know one.
func requestEndedEvent(call caller.Call, a structs.Answer) event.Event {
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

// sendWithFailover sends the request to one entry after the other. It tries the next entry
// only if the request certainly was not run and the failure lies with the entry.
func sendWithFailover(ctx context.Context, clients []*caller.Client, call caller.Call) structs.Answer {
	var answer structs.Answer
	for _, client := range clients {
		answer = client.Do(ctx, call)
		if answer.Outcome != structs.OutcomeNotRun || answer.Err == nil || !canRetryOnOtherEntry(answer.Err) {
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

// answerError returns nil for an answered request, else an error whose code is
// chosen by the outcome alone, so that the exit code doesn't depend on the cause.
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
