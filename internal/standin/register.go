package standin

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"dotterelhitch/internal/platformhttp"
	"dotterelhitch/internal/standin/listsvc"
	"dotterelhitch/internal/structs"
)

// registerTimeout bounds a call to an instance list in another process.
const registerTimeout = 5 * time.Second

// register adds workers to the cell's own list and to the one elsewhere.
func (c *Cell) register(workers []structs.Worker) error {
	if list := c.List(); list != nil {
		list.Put(workers, nil)
	}
	if c.options.ListBase == "" {
		return nil
	}
	return c.callList("/admin/instances", listsvc.PutRequest{Instances: workers})
}

// setState tells the lists that an instance changed.
func (c *Cell) setState(id string, state structs.WorkerState) {
	if list := c.List(); list != nil {
		_ = list.SetState(id, state)
	}
	if c.options.ListBase == "" {
		return
	}
	if err := c.callList("/admin/state", listsvc.StateChange{ID: id, State: state}); err != nil {
		slog.Warn("the instance list was not told", "instance", id, "state", state, "error", err)
	}
}

func (c *Cell) callList(path string, in any) error {
	client := platformhttp.New(platformhttp.Config{BaseURL: c.options.ListBase, Keys: c.options.Keys, Clock: c.clock})
	return client.Call(context.Background(), registerTimeout, http.MethodPost, path, in, nil)
}
