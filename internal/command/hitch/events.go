package hitch

import (
	"net/http"
	"os"

	"dotterelhitch/internal/event"
	"dotterelhitch/internal/httpx"
	"dotterelhitch/internal/structs"
)

// procName is the process name that this program records in events.
const procName = "hitch"

// openEvents opens the event log that records the requests this command sends and
// the answers it receives. Without --events it does nothing.
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

// httpClient returns a client that sends and updates the hybrid logical clock of
// the event log with every message.
func (g *globals) httpClient() *http.Client {
	return &http.Client{Transport: httpx.NewTransport(g.events.Clock())}
}
