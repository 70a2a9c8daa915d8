package hitch

import (
	"context"
	"slices"

	"github.com/spf13/cobra"

	"dotterelhitch/internal/caller"
	"dotterelhitch/internal/httpx"
	"dotterelhitch/internal/structs"
)

// callerClients returns a client for each of the callers' addresses.
func (g *globals) callerClients() ([]*caller.Client, error) {
	servers, err := addresses(g.callers, callerEnv, "--caller")
	if err != nil {
		return nil, err
	}
	if err := g.openEvents(); err != nil {
		return nil, err
	}
	client := g.httpClient()
	clients := make([]*caller.Client, len(servers))
	for i, server := range servers {
		clients[i] = &caller.Client{BaseURL: server, HTTP: client}
	}
	return clients, nil
}

// withCaller calls f with a client of each entry in turn until one call succeeds
// or fails for a reason that another entry would also report. All calls together
// are bounded by the timeout. f must be safe to repeat.
func withCaller(cmd *cobra.Command, g *globals, f func(context.Context, *caller.Client) error) error {
	ctx, cancel := context.WithTimeout(cmd.Context(), g.timeout)
	defer cancel()
	clients, err := g.callerClients()
	if err != nil {
		return err
	}
	for i, client := range clients {
		err = f(ctx, client)
		if !canRetryOnOtherEntry(err) || i == len(clients)-1 {
			return err
		}
	}
	return err
}

// canRetryOnOtherEntry reports whether the failure lies with the entry that
// received the call rather than with the call itself, so that another entry may
// succeed.
func canRetryOnOtherEntry(err error) bool {
	codes := []structs.Code{structs.CodeUnavailable, structs.CodeDraining, structs.CodeBehind, structs.CodeNotOwner}
	return slices.Contains(codes, structs.CodeOf(err))
}

// readBody returns the argument as the body or, if it is "-", reads the body from
// standard input, up to structs.MaxRequestBytes.
func readBody(cmd *cobra.Command, arg string) ([]byte, error) {
	if arg != "-" {
		return []byte(arg), nil
	}
	return httpx.ReadLimited(cmd.InOrStdin(), structs.MaxRequestBytes)
}
