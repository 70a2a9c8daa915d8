package endpoint

import (
	"context"
	"net"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"dotterelhitch/internal/event"
	"dotterelhitch/internal/httpx"
	"dotterelhitch/internal/structs"
)

// Bounds and ages of the connections to endpoints.
const (
	defaultConnections  = 16
	defaultFreshFor     = 500 * time.Millisecond
	defaultIdleFor      = 5 * time.Second
	defaultDialWithin   = time.Second
	defaultLingerFor    = 5 * time.Second
	defaultLingering    = 256
	maxHeaderBytes      = 16 << 10
	controlConnections  = 8 // left for the owner's control calls to the worker
	minWorkerConnection = 1
)

// Options configure a Client. A zero member takes its default.
type Options struct {
	// Dial opens a connection; nil for TCP.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
	// NonIdempotentIdleLimit is the age since its last answer up to which a connection is used
	// for a request that must not run twice. An older one may have gone silent.
	NonIdempotentIdleLimit time.Duration
	// IdleTimeout is the age at which an idle connection is closed.
	IdleTimeout time.Duration
	// DialTimeout bounds the time to open a connection.
	DialTimeout time.Duration
	// LateAnswerTimeout is how long a connection is read on after its attempt timed out,
	// to count a late answer; Lingering bounds their number.
	LateAnswerTimeout  time.Duration
	MaxLateAnswerConns int
	// Keys are the shared keys of the workers; empty for none.
	Keys httpx.Keys
	// Clock stamps requests and observes answers; nil for none.
	Clock *event.Clock
	// OnLateAnswer gets every late or duplicate answer after it was counted; nil for
	// none. It is called from the pool's goroutines.
	OnLateAnswer func(LateAnswer)
	// Metrics gets the counters; nil for a set of its own.
	Metrics *metrics.Set
}

func (o Options) withDefaults() Options {
	o.NonIdempotentIdleLimit = orDefault(o.NonIdempotentIdleLimit, defaultFreshFor)
	o.IdleTimeout = orDefault(o.IdleTimeout, defaultIdleFor)
	o.DialTimeout = orDefault(o.DialTimeout, defaultDialWithin)
	o.LateAnswerTimeout = orDefault(o.LateAnswerTimeout, defaultLingerFor)
	o.MaxLateAnswerConns = orDefault(o.MaxLateAnswerConns, defaultLingering)
	if o.Dial == nil {
		o.Dial = dialTCP
	}
	if o.OnLateAnswer == nil {
		o.OnLateAnswer = func(LateAnswer) {}
	}
	if o.Metrics == nil {
		o.Metrics = metrics.NewSet()
	}
	return o
}

func orDefault[T int | time.Duration](v, def T) T {
	if v <= 0 {
		return def
	}
	return v
}

func dialTCP(ctx context.Context, addr string) (net.Conn, error) {
	return new(net.Dialer).DialContext(ctx, "tcp", addr)
}

// Client sends requests to endpoints. It is safe for concurrent use.
type Client struct {
	opts   Options
	pool   *pool
	counts counters
}

// NewClient returns a client without open connections.
func NewClient(o Options) *Client {
	o = o.withDefaults()
	c := &Client{opts: o, counts: newCounters(o.Metrics)}
	c.pool = newPool(o, c.late)
	return c
}

// Close closes the idle connections and refuses new attempts. Attempts under way
// go on.
func (c *Client) Close() { c.pool.close() }

// Send makes one attempt and returns by the deadline, or soon after ctx ends. A
// connection that turns out dead before a byte was accepted by it is replaced
// once by a new one; past that point the request is never sent again.
func (c *Client) Send(ctx context.Context, t Target, f FencingToken, r structs.Request, deadline time.Time) Result {
	res := c.send(ctx, t, f, r, deadline)
	c.counts.result(res)
	return res
}

func (c *Client) send(ctx context.Context, t Target, f FencingToken, r structs.Request, deadline time.Time) Result {
	conn, err := c.pool.get(ctx, t, r.Idempotent, deadline)
	if err != nil {
		return unsent(err)
	}
	res, reusable := c.attempt(ctx, conn, f, r, deadline)
	if !reusable || !res.Unsent {
		return res
	}
	conn, err = c.pool.dial(ctx, t, deadline)
	if err != nil {
		return unsent(err)
	}
	res, _ = c.attempt(ctx, conn, f, r, deadline)
	return res
}

// late counts an answer that nobody waits for any more.
func (c *Client) late(l LateAnswer) {
	c.counts.late.Inc()
	c.opts.OnLateAnswer(l)
}
