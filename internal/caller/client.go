package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"dotterelhitch/internal/httpx"
	"dotterelhitch/internal/structs"
)

// waitPastDeadline is how long the client waits for the verdict on a request
// after the deadline that it named.
const waitPastDeadline = 2 * time.Second

// maxAnswerJSONBytes bounds the JSON form of an answer: its body grows by a third.
const maxAnswerJSONBytes = structs.MaxAnswerBytes*4/3 + 64<<10

// Client speaks the callers' interface of one entry. It never sends a request
// twice by itself. It is safe for concurrent use.
type Client struct {
	// BaseURL is "http://host:port".
	BaseURL string
	// HTTP does the calls; nil for http.DefaultClient.
	HTTP *http.Client
	Keys httpx.Keys
}

// Call is one request as a caller sends it.
type Call struct {
	Class      string
	Key        string
	Idempotent bool
	Body       []byte
	// ClientID is the caller's own name of the request; empty for none.
	ClientID string
	// Deadline is the time that the system may take; zero for its default.
	Deadline time.Duration
}

// Do sends a request and returns its outcome. A failure on the way is not run if
// no connection to the entry was made, and unknown otherwise.
func (c *Client) Do(ctx context.Context, call Call) structs.Answer {
	wait := call.Deadline
	if wait <= 0 {
		wait = defaultDeadline
	}
	ctx, cancel := context.WithTimeout(ctx, wait+waitPastDeadline)
	defer cancel()
	connected := new(atomic.Bool)
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req, err := c.newRequest(ctx, call)
	if err != nil {
		return notRun("", err)
	}
	resp, err := c.client().Do(req)
	if err != nil && !connected.Load() {
		return notRun("", httpx.TransportError(err))
	}
	if err != nil {
		return unknown(httpx.TransportError(err))
	}
	defer resp.Body.Close()
	body, err := httpx.ReadLimited(resp.Body, maxAnswerJSONBytes)
	if err != nil {
		return unknown(httpx.TransportError(err))
	}
	return decodeAnswer(resp.StatusCode, body)
}

// newRequest builds the HTTP request. GetBody stays nil so that the transport
// does not send it again on another connection.
func (c *Client) newRequest(ctx context.Context, call Call) (*http.Request, error) {
	path := c.BaseURL + "/v1/classes/" + url.PathEscape(call.Class) + "/requests"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, path, bytes.NewReader(call.Body))
	if err != nil {
		return nil, structs.NewError(structs.CodeInvalid, "POST %s: %v", path, err)
	}
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/octet-stream")
	req.Header.Set(HeaderIdempotent, strconv.FormatBool(call.Idempotent))
	if call.Key != "" {
		req.Header.Set(HeaderKey, call.Key)
	}
	if call.ClientID != "" {
		req.Header.Set(HeaderClientID, call.ClientID)
	}
	if call.Deadline > 0 {
		req.Header.Set(HeaderDeadline, strconv.FormatInt(call.Deadline.Milliseconds(), 10))
	}
	c.Keys.Sign(req.Header)
	return req, nil
}

// decodeAnswer reads an answer and checks that status and outcome agree.
func decodeAnswer(status int, body []byte) structs.Answer {
	var a structs.Answer
	if err := json.Unmarshal(body, &a); err != nil || a.Outcome == "" {
		return fromError(status, body)
	}
	if StatusOf(a) != status {
		return unknown(structs.NewError(structs.CodeInternal, "status %d with outcome %.20q", status, a.Outcome))
	}
	return a
}

// fromError reads the refusals that name no request: a wrong path or a wrong key.
func fromError(status int, body []byte) structs.Answer {
	err := httpx.DecodeError(status, body)
	switch structs.CodeOf(err) {
	case structs.CodeNotFound, structs.CodeUnauthorized:
		return notRun("", err)
	}
	return unknown(err)
}

func unknown(err error) structs.Answer {
	return structs.Answer{Outcome: structs.OutcomeUnknown, Err: structs.AsError(err)}
}

// SubmitJob submits a job; a repeat with the same change ID does nothing more.
func (c *Client) SubmitJob(ctx context.Context, j structs.Job, changeID string) (string, error) {
	var out JobAccepted
	err := c.call(ctx, http.MethodPost, "/v1/jobs", changeID, j, &out)
	return out.ID, err
}

// JobStatus returns a job's state, after at most wait if it has not ended.
func (c *Client) JobStatus(ctx context.Context, id string, wait time.Duration) (structs.JobStatus, error) {
	var out structs.JobStatus
	path := "/v1/jobs/" + url.PathEscape(id) + "?wait_ms=" + strconv.FormatInt(wait.Milliseconds(), 10)
	err := c.call(ctx, http.MethodGet, path, "", nil, &out)
	return out, err
}

// CancelJob cancels one job.
func (c *Client) CancelJob(ctx context.Context, id, changeID string) (int, error) {
	var out JobsCancelled
	err := c.call(ctx, http.MethodDelete, "/v1/jobs/"+url.PathEscape(id), changeID, nil, &out)
	return out.Cancelled, err
}

// CancelJobs cancels the jobs that the filter selects.
func (c *Client) CancelJobs(ctx context.Context, f structs.JobFilter, changeID string) (int, error) {
	var out JobsCancelled
	err := c.call(ctx, http.MethodPost, "/v1/jobs/cancel", changeID, f, &out)
	return out.Cancelled, err
}

// call does one JSON call that may bear a change ID.
func (c *Client) call(ctx context.Context, method, path, changeID string, in, out any) error {
	req, err := c.newCall(ctx, method, path, in)
	if err != nil {
		return err
	}
	if changeID != "" {
		req.Header.Set(HeaderKey, changeID)
	}
	c.Keys.Sign(req.Header)
	resp, err := c.client().Do(req)
	if err != nil {
		return httpx.TransportError(err)
	}
	defer resp.Body.Close()
	body, err := httpx.ReadLimited(resp.Body, httpx.MaxJSONBytes)
	if err != nil {
		return httpx.TransportError(err)
	}
	if resp.StatusCode/100 != 2 {
		return httpx.DecodeError(resp.StatusCode, body)
	}
	if err := json.Unmarshal(body, out); err != nil {
		return structs.NewError(structs.CodeInternal, "%s %s: answer: %v", method, path, err)
	}
	return nil
}

func (c *Client) newCall(ctx context.Context, method, path string, in any) (*http.Request, error) {
	var body io.Reader
	if in != nil {
		b, err := json.Marshal(in)
		if err != nil {
			return nil, structs.NewError(structs.CodeInvalid, "encoding the body: %v", err)
		}
		body = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.BaseURL+path, body)
	if err != nil {
		return nil, structs.NewError(structs.CodeInvalid, "%s %s: %v", method, path, err)
	}
	req.Header.Set("Content-Type", "application/json")
	return req, nil
}

func (c *Client) client() *http.Client {
	if c.HTTP == nil {
		return http.DefaultClient
	}
	return c.HTTP
}
