// Package instancelist is the client of the platform's lagging list of
// instances. docs/PLATFORM.md states the protocol and what the system assumes.
package instancelist

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"

	"dotterelhitch/internal/event"
	"dotterelhitch/internal/httpx"
	"dotterelhitch/internal/platformhttp"
	"dotterelhitch/internal/structs"
)

// readGrace is the time that a read may take beyond its wait.
const readGrace = 3 * time.Second

// Config says which instance list to use.
type Config struct {
	// BaseURL is "http://host:port".
	BaseURL string
	// Keys are the shared keys; empty turns authentication off.
	Keys httpx.Keys
	// Clock stamps the calls; it may be nil.
	Clock *event.Clock
	// Traffic counts the bytes of the calls; it may be nil.
	Traffic *httpx.TrafficCounter
}

// Client reads the instance list. It is safe for concurrent use.
type Client struct {
	http *platformhttp.Client
}

// New returns a client of the instance list at cfg.BaseURL.
func New(cfg Config) *Client {
	return &Client{http: platformhttp.New(platformhttp.Config{BaseURL: cfg.BaseURL, Keys: cfg.Keys, Clock: cfg.Clock, Traffic: cfg.Traffic})}
}

// Entry is an entry instance as the platform knows it.
type Entry struct {
	ID    string              `json:"id"`
	State structs.WorkerState `json:"state"`
}

// List is the list at one version: the whole of it, or what changed after the
// version that the reader had.
type List struct {
	Version int64 `json:"version"`
	Full    bool  `json:"whole"`
	// LagMs bounds in milliseconds how far the list is behind the instances.
	LagMs     int64            `json:"lag_ms"`
	Instances []structs.Worker `json:"instances"`
	Entries   []Entry          `json:"entries"`
}

// answer is the body of an answer, whose entries are decoded one by one.
type answer struct {
	Version   int64             `json:"version"`
	Full      bool              `json:"whole"`
	LagMs     int64             `json:"lag_ms"`
	Instances []json.RawMessage `json:"instances"`
	Entries   []json.RawMessage `json:"entries"`
}

// Read returns the instances that changed after a version, or the whole list if
// after is zero or not known to the service. If the version is still after, it waits
// up to wait for another and then returns what there is. Entries that can't be read are
// left out: what the reader knows of these instances holds.
func (c *Client) Read(ctx context.Context, after int64, wait time.Duration) (List, error) {
	path := fmt.Sprintf("/v1/instances?after=%d&wait_ms=%d", after, wait.Milliseconds())
	var out answer
	if err := c.http.Call(ctx, wait+readGrace, http.MethodGet, path, nil, &out); err != nil {
		return List{}, err
	}
	return out.list(), nil
}

// list returns the entries that describe an instance in a known state and whose name is there
// once.
func (a *answer) list() List {
	l := List{Version: a.Version, Full: a.Full, LagMs: a.LagMs}
	for _, raw := range a.Instances {
		var w structs.Worker
		if json.Unmarshal(raw, &w) == nil && validInstance(&w) {
			l.Instances = append(l.Instances, w)
		}
	}
	for _, raw := range a.Entries {
		var e Entry
		if json.Unmarshal(raw, &e) == nil && e.ID != "" && validState(e.State) {
			l.Entries = append(l.Entries, e)
		}
	}
	l.dropRepeated(a.names())
	return l
}

// names returns how often each name is in the answer, also in entries that can't be used.
func (a *answer) names() map[string]int {
	n := make(map[string]int, len(a.Instances)+len(a.Entries))
	for _, raw := range slices.Concat(a.Instances, a.Entries) {
		var named struct {
			ID string `json:"id"`
		}
		if json.Unmarshal(raw, &named) == nil {
			n[named.ID]++
		}
	}
	return n
}

// dropRepeated drops the entries whose name is there more than once.
func (l *List) dropRepeated(names map[string]int) {
	l.Instances = slices.DeleteFunc(l.Instances, func(w structs.Worker) bool { return names[w.ID] > 1 })
	l.Entries = slices.DeleteFunc(l.Entries, func(e Entry) bool { return names[e.ID] > 1 })
}

// validInstance reports whether an instance has a name, a known state and a possible size.
func validInstance(w *structs.Worker) bool {
	return w.ID != "" && validState(w.State) && w.Size.Possible() &&
		w.Slots >= 0 && w.Slots <= structs.MaxAmount && w.Connections >= 0 && w.Connections <= structs.MaxAmount
}

func validState(state structs.WorkerState) bool {
	return state == structs.WorkerLive || state == structs.WorkerLeaving || state == structs.WorkerRemoved
}
