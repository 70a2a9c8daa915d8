// Package platformhttp is the HTTP client that the platform's peer packages
// share. Every call has a deadline, and after a call that timed out the next one
// opens a fresh connection, since the old one may have gone silent for good.
package platformhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"dotterelhitch/internal/event"
	"dotterelhitch/internal/httpx"
	"dotterelhitch/internal/structs"
)

// DefaultTimeout bounds a call whose Exchange states no timeout.
const DefaultTimeout = 3 * time.Second

// Config says whom a Client calls.
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

// Client calls one platform peer. It is safe for concurrent use.
type Client struct {
	cfg Config

	mu   sync.Mutex
	http *http.Client
}

// New returns a client for the peer at cfg.BaseURL.
func New(cfg Config) *Client {
	return &Client{cfg: cfg, http: newHTTP(cfg)}
}

func newHTTP(cfg Config) *http.Client {
	if cfg.Traffic == nil {
		return &http.Client{Transport: httpx.NewTransport(cfg.Clock)}
	}
	return &http.Client{Transport: httpx.NewTransport(cfg.Clock, cfg.Traffic)}
}

// Delivery says how far a request got.
type Delivery int

const (
	// NotSent means that no byte of the request can have reached the peer.
	NotSent Delivery = iota
	// NoAnswer means that the request may have reached the peer, and no whole
	// answer came.
	NoAnswer
	// Answered means that the peer answered, well or with an error.
	Answered
)

// Exchange is one request and its bounds.
type Exchange struct {
	Method string
	// Path is the path with the query.
	Path string
	// Body is sent as it is; nil sends none.
	Body []byte
	// ContentType describes Body.
	ContentType string
	// Timeout bounds the whole exchange; zero means DefaultTimeout.
	Timeout time.Duration
}

// Do makes one exchange and decodes a 2xx answer into out (nil drops it). A typed
// error body is returned as *structs.Error.
func (c *Client) Do(ctx context.Context, x Exchange, out any) (Delivery, error) {
	timeout := x.Timeout
	if timeout <= 0 {
		timeout = DefaultTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var connected atomic.Bool
	req, err := c.request(traceConn(ctx, &connected), x)
	if err != nil {
		return NotSent, err
	}
	client := c.current()
	status, body, err := roundTrip(client, req)
	if err != nil {
		if structs.CodeOf(err) == structs.CodeDeadline {
			c.replace(client)
		}
		if !connected.Load() {
			return NotSent, err
		}
		return NoAnswer, err
	}
	if status/100 != 2 {
		return Answered, httpx.DecodeError(status, body)
	}
	if out == nil {
		return Answered, nil
	}
	if err := json.Unmarshal(body, out); err != nil {
		return Answered, structs.NewError(structs.CodeInternal, "%s %s: answer: %v", x.Method, x.Path, err)
	}
	return Answered, nil
}

// Call sends in (nil for none) as JSON and decodes the answer into out.
func (c *Client) Call(ctx context.Context, timeout time.Duration, method, path string, in, out any) error {
	x := Exchange{Method: method, Path: path, Timeout: timeout}
	if in != nil {
		b, err := json.Marshal(in)
		if err != nil {
			return structs.NewError(structs.CodeInvalid, "encoding the body: %v", err)
		}
		x.Body = b
		x.ContentType = "application/json"
	}
	_, err := c.Do(ctx, x, out)
	return err
}

func (c *Client) request(ctx context.Context, x Exchange) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, x.Method, c.cfg.BaseURL+x.Path, bytes.NewReader(x.Body))
	if err != nil {
		return nil, structs.NewError(structs.CodeInvalid, "%s %s: %v", x.Method, x.Path, err)
	}
	if x.Body == nil {
		req.Body = http.NoBody
	}
	if x.ContentType != "" {
		req.Header.Set("Content-Type", x.ContentType)
	}
	c.cfg.Keys.Sign(req.Header)
	return req, nil
}

// traceConn sets connected once a connection carries the request.
func traceConn(ctx context.Context, connected *atomic.Bool) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
}

func roundTrip(client *http.Client, req *http.Request) (status int, body []byte, err error) {
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil, httpx.TransportError(err)
	}
	defer resp.Body.Close()
	body, err = httpx.ReadLimited(resp.Body, httpx.MaxJSONBytes)
	if err != nil {
		return 0, nil, httpx.TransportError(err)
	}
	return resp.StatusCode, body, nil
}

func (c *Client) current() *http.Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.http
}

// replace gives later calls a fresh transport, unless another call did so
// already. Idle connections of the old one close by their idle timeout.
func (c *Client) replace(used *http.Client) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.http != used {
		return
	}
	c.http = newHTTP(c.cfg)
	used.CloseIdleConnections()
}
