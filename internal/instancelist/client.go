// Package instancelist is the client of the platform's lagging list of
// instances. docs/PLATFORM.md states the protocol and what the system assumes.
package instancelist

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"dotterelhitch/internal/event"
	"dotterelhitch/internal/httpx"
	"dotterelhitch/internal/platformhttp"
	"dotterelhitch/internal/structs"
)

// readSlack is the time that a read may take beyond its wait.
const readSlack = 3 * time.Second

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

// Read returns the instances that changed after a version, or the whole list if
// after is zero or not known to the service. If the version is still after, it waits
// up to wait for another and then returns what there is.
func (c *Client) Read(ctx context.Context, after int64, wait time.Duration) (List, error) {
	path := fmt.Sprintf("/v1/instances?after=%d&wait_ms=%d", after, wait.Milliseconds())
	var out List
	if err := c.http.Call(ctx, wait+readSlack, http.MethodGet, path, nil, &out); err != nil {
		return List{}, err
	}
	return out, out.check()
}

// check refuses a list that names an instance twice or in no known state.
func (l List) check() error {
	seen := make(map[string]bool, len(l.Instances)+len(l.Entries))
	for _, w := range l.Instances {
		if err := checkInstance(seen, w.ID, w.State); err != nil {
			return err
		}
		if w.Size.HasNegative() {
			return structs.NewError(structs.CodeInternal, "instance list: %s has a negative size", w.ID)
		}
	}
	for _, e := range l.Entries {
		if err := checkInstance(seen, e.ID, e.State); err != nil {
			return err
		}
	}
	return nil
}

func checkInstance(seen map[string]bool, id string, state structs.WorkerState) error {
	if id == "" || seen[id] {
		return structs.NewError(structs.CodeInternal, "instance list: name %q is empty or there twice", id)
	}
	seen[id] = true
	switch state {
	case structs.WorkerLive, structs.WorkerLeaving, structs.WorkerRemoved:
		return nil
	default:
		return structs.NewError(structs.CodeInternal, "instance list: %s is in state %q", id, state)
	}
}
