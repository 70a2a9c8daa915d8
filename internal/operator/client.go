package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"time"

	"github.com/google/uuid"

	"dotterelhitch/internal/event"
	"dotterelhitch/internal/httpx"
	"dotterelhitch/internal/structs"
)

// attemptTimeout bounds one call to one server, so that a silent server doesn't
// keep the next one from being tried.
const attemptTimeout = 10 * time.Second

// Client calls the operators' interface of any of several entries.
type Client struct {
	// ServerURLs are base URLs, tried in turn.
	ServerURLs []string
	HTTP       *http.Client
	Keys       httpx.Keys
	// Events records the changes that the server confirmed as accepted; nil drops them.
	Events *event.Recorder
}

// SetClass sets a class. A change rejected by a version conflict is not an error.
func (c *Client) SetClass(ctx context.Context, class structs.Class, base int64) (Change, error) {
	out, err := c.change(ctx, http.MethodPut, classesPath, class.Name, ClassChange{BaseVersion: base, Class: class}, &structs.Class{})
	c.record(out, event.Event{Type: event.ClassAccepted, Class: class.Name})
	return out, err
}

// Classes lists the classes.
func (c *Client) Classes(ctx context.Context) ([]structs.Class, error) {
	var out ClassList
	err := c.get(ctx, classesPath, &out)
	return out.Classes, err
}

// Class returns one class.
func (c *Client) Class(ctx context.Context, name string) (structs.Class, error) {
	var out structs.Class
	err := c.get(ctx, join(classesPath, name), &out)
	return out, err
}

// SetQuota states the quota of a team.
func (c *Client) SetQuota(ctx context.Context, quota structs.Quota, base int64) (Change, error) {
	out, err := c.change(ctx, http.MethodPut, quotasPath, quota.Team, QuotaChange{BaseVersion: base, Quota: quota}, &structs.Quota{})
	c.record(out, event.Event{Type: event.ClassAccepted, Detail: "quota of " + quota.Team})
	return out, err
}

// Quotas lists the quotas.
func (c *Client) Quotas(ctx context.Context) ([]structs.Quota, error) {
	var out QuotaList
	err := c.get(ctx, quotasPath, &out)
	return out.Quotas, err
}

// SetLeaving declares an instance as leaving or, if remove is set, withdraws the
// declaration.
func (c *Client) SetLeaving(ctx context.Context, l structs.LeavingDeclaration, remove bool, base int64) (Change, error) {
	method := http.MethodPut
	accepted := event.Event{Type: event.LeavingAccepted, Worker: l.Instance}
	if remove {
		method = http.MethodDelete
		accepted.State = StateRemoved
	}
	out, err := c.change(ctx, method, leavingsPath, l.Instance, LeavingChange{BaseVersion: base, ConfirmedStopped: l.ConfirmedStopped, Unlisted: l.Unlisted}, &structs.LeavingDeclaration{})
	c.record(out, accepted)
	return out, err
}

// StateRemoved marks the event of a declaration that was withdrawn.
const StateRemoved = "removed"

// record records the event of a change that the server confirmed as accepted.
func (c *Client) record(change Change, e event.Event) {
	if !change.Accepted {
		return
	}
	e.Version = change.Version
	c.Events.Record(e)
}

// Leavings lists the declarations.
func (c *Client) Leavings(ctx context.Context) ([]structs.LeavingDeclaration, error) {
	var out LeavingList
	err := c.get(ctx, leavingsPath, &out)
	return out.Declarations, err
}

// Status returns the state of the cell.
func (c *Client) Status(ctx context.Context) (structs.CellStatus, error) {
	var out structs.CellStatus
	err := c.get(ctx, statusPath, &out)
	return out, err
}

// Explain says why a job waits or was refused.
func (c *Client) Explain(ctx context.Context, jobID string) (structs.JobStatus, error) {
	var out structs.JobStatus
	err := c.get(ctx, join(explainPath, jobID), &out)
	return out, err
}

func join(path, name string) string { return path + "/" + url.PathEscape(name) }

func (c *Client) get(ctx context.Context, path string, out any) error {
	return c.tryServers(func(server string) error {
		ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
		defer cancel()
		client := httpx.Client{BaseURL: server, HTTP: c.HTTP, Keys: c.Keys}
		return client.Call(ctx, http.MethodGet, path, nil, out)
	})
}

// change sends a change to each server in turn until one answers. All attempts
// carry the same ID, so the change is applied once even if an earlier server has
// accepted it too.
func (c *Client) change(ctx context.Context, method, path, name string, in, current any) (Change, error) {
	if !structs.ValidName(name) {
		return Change{}, structs.NewError(structs.CodeInvalid, "name %q: want 1 to 63 of a-z 0-9 . _ -", name)
	}
	body, err := json.Marshal(in)
	if err != nil {
		return Change{}, structs.NewError(structs.CodeInvalid, "encoding the change: %v", err)
	}
	id := uuid.NewString()
	var out changeBody
	err = c.tryServers(func(server string) error {
		ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
		defer cancel()
		got, err := c.send(ctx, method, server+join(path, name), id, body)
		out = got
		return err
	})
	if err != nil {
		return Change{}, err
	}
	return decodeChange(out, current)
}

// send makes one attempt at a change.
func (c *Client) send(ctx context.Context, method, target, id string, body []byte) (changeBody, error) {
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return changeBody{}, structs.NewError(structs.CodeInvalid, "%s %s: %v", method, target, err)
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(ChangeIDHeader, id)
	c.Keys.Sign(req.Header)
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return changeBody{}, httpx.TransportError(err)
	}
	defer resp.Body.Close()
	answer, err := httpx.ReadLimited(resp.Body, httpx.MaxJSONBytes)
	if err != nil {
		return changeBody{}, httpx.TransportError(err)
	}
	return decodeAnswer(resp.StatusCode, answer)
}

// decodeAnswer decodes the answer to a change, accepted or rejected by a conflict.
func decodeAnswer(status int, answer []byte) (changeBody, error) {
	if status == http.StatusOK {
		var out changeBody
		if err := json.Unmarshal(answer, &out); err != nil {
			return changeBody{}, structs.NewError(structs.CodeInternal, "answer: %v", err)
		}
		return out, nil
	}
	var conflict conflictBody
	if err := json.Unmarshal(answer, &conflict); err == nil && conflict.Change != nil && !conflict.Change.Accepted {
		return *conflict.Change, nil
	}
	return changeBody{}, httpx.DecodeError(status, answer)
}

// decodeChange decodes the value in force into current, a pointer.
func decodeChange(in changeBody, current any) (Change, error) {
	out := Change{Version: in.Version, Accepted: in.Accepted}
	if len(in.Current) == 0 || string(in.Current) == "null" {
		return out, nil
	}
	if err := json.Unmarshal(in.Current, current); err != nil {
		return Change{}, structs.NewError(structs.CodeInternal, "answer: current value: %v", err)
	}
	out.Current = current
	return out, nil
}

// tryServers calls f with one server after the other until one answers.
func (c *Client) tryServers(f func(server string) error) error {
	err := structs.NewError(structs.CodeInvalid, "no server address")
	for _, server := range c.ServerURLs {
		err = f(strings.TrimRight(server, "/"))
		if !retryOnNextServer(err) {
			return err
		}
	}
	return err
}

// retryOnNextServer reports whether another server may succeed where one failed
// with err.
func retryOnNextServer(err error) bool {
	next := []structs.Code{
		structs.CodeUnavailable, structs.CodeDraining, structs.CodeDeadline, structs.CodeUnknown, structs.CodeBehind,
	}
	return slices.Contains(next, structs.CodeOf(err))
}
