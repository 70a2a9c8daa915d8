package worker

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"dotterelhitch/internal/event"
	"dotterelhitch/internal/httpx"
	"dotterelhitch/internal/platformhttp"
)

// Call timeouts. A long poll may take pollGrace longer than the wait it asks for.
const (
	commandTimeout = 3 * time.Second
	pollGrace      = 3 * time.Second
)

// Config configures a Client.
type Config struct {
	// Addr is the worker's host:port.
	Addr string
	// Keys are the shared keys; empty turns authentication off.
	Keys httpx.Keys
	// Clock timestamps the calls; it may be nil.
	Clock *event.Clock
	// Timeout bounds a command; zero means 3 s.
	Timeout time.Duration
	// Traffic counts the bytes of the calls; it may be nil.
	Traffic *httpx.TrafficCounter
}

// Client sends commands to one worker. It is safe for concurrent use. A command
// that failed with any error other than a refusal by the worker may have taken
// effect.
type Client struct {
	http    *platformhttp.Client
	timeout time.Duration
}

// New returns a client of the worker at cfg.Addr.
func New(cfg Config) *Client {
	c := &Client{
		http:    platformhttp.New(platformhttp.Config{BaseURL: "http://" + cfg.Addr, Keys: cfg.Keys, Clock: cfg.Clock, Traffic: cfg.Traffic}),
		timeout: cfg.Timeout,
	}
	if c.timeout <= 0 {
		c.timeout = commandTimeout
	}
	return c
}

// Fence raises the worker's fencing epoch to cmd.Epoch and returns the worker's
// inventory.
func (c *Client) Fence(ctx context.Context, cmd CommandHeader) (Inventory, error) {
	var out Inventory
	if err := c.post(ctx, "/v1/fence", cmd, &out); err != nil {
		return Inventory{}, err
	}
	return out, out.check()
}

// StartTasks starts tasks. Repeating the same task and attempt has no effect.
// StartTasks returns a result for each task, and the worker's uptime in
// milliseconds.
func (c *Client) StartTasks(ctx context.Context, cmd CommandHeader, tasks []TaskStart) ([]TaskResult, int64, error) {
	var out TaskResults
	if err := c.post(ctx, "/v1/tasks", StartRequest{CommandHeader: cmd, Tasks: tasks}, &out); err != nil {
		return nil, 0, err
	}
	results, err := out.check(len(tasks), func(i int) TaskRef { return tasks[i].TaskRef })
	return results, out.UptimeMs, err
}

// RenewLeases renews the lease of every running task.
func (c *Client) RenewLeases(ctx context.Context, cmd CommandHeader, lease time.Duration) (RenewResult, error) {
	var out RenewResult
	err := c.post(ctx, "/v1/leases", RenewRequest{CommandHeader: cmd, LeaseMs: lease.Milliseconds()}, &out)
	return out, err
}

// StopTasks stops tasks. A result without an error guarantees that the run has
// ended and will not start.
func (c *Client) StopTasks(ctx context.Context, cmd CommandHeader, tasks []TaskRef, checkpoint bool) ([]TaskResult, error) {
	var out TaskResults
	if err := c.post(ctx, "/v1/stops", StopRequest{CommandHeader: cmd, Tasks: tasks, Checkpoint: checkpoint}, &out); err != nil {
		return nil, err
	}
	return out.check(len(tasks), func(i int) TaskRef { return tasks[i] })
}

// Throttle limits the CPU time of tasks.
func (c *Client) Throttle(ctx context.Context, cmd CommandHeader, tasks []TaskThrottle) ([]TaskResult, error) {
	var out TaskResults
	if err := c.post(ctx, "/v1/throttles", ThrottleRequest{CommandHeader: cmd, Tasks: tasks}, &out); err != nil {
		return nil, err
	}
	return out.check(len(tasks), func(i int) TaskRef { return tasks[i].TaskRef })
}

// Forget removes ended tasks from the worker's inventory.
func (c *Client) Forget(ctx context.Context, cmd CommandHeader, tasks []TaskRef) error {
	return c.post(ctx, "/v1/forgets", ForgetRequest{CommandHeader: cmd, Tasks: tasks}, nil)
}

// Inventory returns the worker's inventory (long poll). While the inventory's
// sequence number is not greater than after, the call waits up to wait for a newer
// inventory and then returns the current one.
func (c *Client) Inventory(ctx context.Context, after int64, wait time.Duration) (Inventory, error) {
	path := fmt.Sprintf("/v1/inventory?after=%d&wait_ms=%d", after, wait.Milliseconds())
	var out Inventory
	if err := c.http.Call(ctx, wait+pollGrace, http.MethodGet, path, nil, &out); err != nil {
		return Inventory{}, err
	}
	return out, out.check()
}

// InventoryChanges is like Inventory but returns only the tasks that changed after
// the sequence number after, unless the worker does not know that number.
func (c *Client) InventoryChanges(ctx context.Context, after int64, wait time.Duration) (Inventory, error) {
	path := fmt.Sprintf("/v1/inventory?changed=true&after=%d&wait_ms=%d", after, wait.Milliseconds())
	var out Inventory
	if err := c.http.Call(ctx, wait+pollGrace, http.MethodGet, path, nil, &out); err != nil {
		return Inventory{}, err
	}
	return out, out.check()
}

// Probe checks whether the worker answers.
func (c *Client) Probe(ctx context.Context) (ProbeAnswer, error) {
	var out ProbeAnswer
	err := c.http.Call(ctx, c.timeout, http.MethodGet, "/v1/probe", nil, &out)
	return out, err
}

func (c *Client) post(ctx context.Context, path string, in, out any) error {
	return c.http.Call(ctx, c.timeout, http.MethodPost, path, in, out)
}
