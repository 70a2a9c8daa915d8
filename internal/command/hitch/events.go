package hitch

import (
	"net/http"
	"os"

	"dotterelhitch/internal/event"
	"dotterelhitch/internal/httpx"
	"dotterelhitch/internal/structs"
)

// procName is the name of the command line in events.
const procName = "hitch"

// openEvents begins the record of what this command sent and was told, if one
// was asked for.
func (g *globals) openEvents() error {
	if g.eventsFile == "" {
		return nil
	}
	f, err := os.OpenFile(g.eventsFile, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return structs.NewError(structs.CodeInvalid, "event log: %v", err)
	}
	g.events = event.NewRecorder(procName, &event.Clock{}, f)
	return nil
}

// httpClient returns a client that carries the clock of the event log.
func (g *globals) httpClient() *http.Client {
	return &http.Client{Transport: httpx.NewTransport(g.events.Clock())}
}
