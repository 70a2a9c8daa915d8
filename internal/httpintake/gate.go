// Package httpintake bounds what clients of HTTP servers take up before their requests are complete: memory,
// connections and time. The decisions are those of package intake; this package applies them to connections and
// handlers.
package httpintake

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"dotterelhitch/internal/event"
	"dotterelhitch/internal/intake"
	"dotterelhitch/internal/structs"
)

// Limits are the limits of requests, which may change while the process runs.
type Limits struct {
	// HeaderBytes is the largest size of a header.
	HeaderBytes int64
	// Bounds are the times that requests may take.
	intake.Bounds
}

// Times that do not depend on the configuration.
const (
	// sweepPeriod is the period at which slow clients are cut off, and refusals reported.
	sweepPeriod = 500 * time.Millisecond
	// writeStall is how long a client may take to accept a part of an answer.
	writeStall = 10 * time.Second
	// refusedReadTime is how long the server reads on from a client that it has refused. A connection that is closed
	// with unread data is reset, and the client may lose the response.
	refusedReadTime = 250 * time.Millisecond
	// retryAfter is the time after which a refused client is asked to try again.
	retryAfter = time.Second
)

// headerSlack is what a connection may receive in addition to a header of the largest size, in bytes: the server reads
// ahead by up to 4 KB, and its own limit has another 4 KB.
const headerSlack = 8 << 10

// Gate accounts for the clients of some interfaces that share memory.
type Gate struct {
	events  *event.Recorder
	metrics *metrics.Set
	// now is the clock of the account.
	now func() time.Time

	headerBytes atomic.Int64
	reported    map[string]uint64 // refusals in the events so far, by interface and reason; used by Run only

	mu         sync.Mutex
	account    *intake.Account
	interfaces []*Interface
}

// Interface is one interface of the process.
type Interface struct {
	gate *Gate
	name string
	pool *intake.Pool
	// http2 is true if the interface's server serves HTTP/2.
	http2 bool
	// messageBytes is what a compressed message may take up once it is decompressed.
	messageBytes int64
	refused      map[intake.Reason]*metrics.Counter
}

// New returns a gate with a limit of memory for requests, in bytes. Its name is in its metrics.
func New(name string, memory int64, events *event.Recorder, set *metrics.Set) *Gate {
	g := &Gate{account: intake.NewAccount(memory), events: events, metrics: set, now: time.Now, reported: map[string]uint64{}}
	g.headerBytes.Store(math.MaxInt64)
	set.GetOrCreateGauge(fmt.Sprintf(`hitch_intake_memory_bytes{clients=%q}`, name), func() float64 {
		g.mu.Lock()
		defer g.mu.Unlock()
		return float64(g.account.Cost())
	})
	return g
}

// oversizedHeader is the reason for which a client is refused without a decision of the account.
const oversizedHeader intake.Reason = "header"

// Interface adds an interface that may have a number of connections. A compressed message counts with messageBytes.
func (g *Gate) Interface(name string, connections int, messageBytes int64) *Interface {
	i := &Interface{gate: g, name: name, pool: g.account.NewPool(connections), messageBytes: messageBytes, refused: map[intake.Reason]*metrics.Counter{}}
	for _, reason := range []intake.Reason{intake.OutOfMemory, intake.OutOfConnections, intake.TooSlow, oversizedHeader} {
		i.refused[reason] = g.metrics.GetOrCreateCounter(fmt.Sprintf(`hitch_intake_refused_total{interface=%q,reason=%q}`, name, reason))
	}
	g.metrics.GetOrCreateGauge(fmt.Sprintf(`hitch_intake_connections{interface=%q}`, name), func() float64 {
		g.mu.Lock()
		defer g.mu.Unlock()
		return float64(i.pool.Open())
	})
	g.interfaces = append(g.interfaces, i)
	return i
}

// Run cuts off slow clients and reports refusals until done is closed.
func (g *Gate) Run(limits func() Limits, done <-chan struct{}) {
	ticker := time.NewTicker(sweepPeriod)
	defer ticker.Stop()
	for {
		l := limits()
		g.headerBytes.Store(l.HeaderBytes)
		g.sweep(l.Bounds)
		g.report()
		select {
		case <-done:
			return
		case <-ticker.C:
		}
	}
}

// sweep cuts off the clients that have exceeded the bounds, and those that do not read their answers.
func (g *Gate) sweep(b intake.Bounds) {
	now := g.now()
	g.mu.Lock()
	victims := g.account.Expire(b, now)
	var blocked []*conn
	for c := range g.account.Handling {
		if conn, ok := c.Owner.(*conn); ok && conn.writeBlocked(time.Now()) {
			blocked = append(blocked, conn)
		}
	}
	g.mu.Unlock()
	cutOff(victims)
	for _, c := range blocked {
		c.iface.refused[intake.TooSlow].Inc()
		_ = c.Conn.Close() // the client has gone, or does not read
	}
}

// report records an event if clients were refused since the last one.
func (g *Gate) report() {
	count := 0
	var parts []string
	for _, i := range g.interfaces {
		for reason, counter := range i.refused {
			key := i.name + " " + string(reason)
			now := counter.Get()
			if n := now - g.reported[key]; n > 0 {
				count += int(n)
				parts = append(parts, fmt.Sprintf("%s: %d", key, n))
				g.reported[key] = now
			}
		}
	}
	if count == 0 {
		return
	}
	slices.Sort(parts)
	g.mu.Lock()
	cost := g.account.Cost()
	g.mu.Unlock()
	g.events.Record(event.Event{Type: event.ClientsRefused, Count: count, Bytes: int(cost), Detail: strings.Join(parts, ", ")})
}

// owner is a connection or a stream, as the Owner of its client in the account.
type owner interface {
	// cutOff makes reading from the client fail, or closes the connection.
	cutOff()
	parent() *Interface
}

// cutOff cuts off clients that the account has ended.
func cutOff(victims []*intake.Client) {
	for _, c := range victims {
		o := c.Owner.(owner)
		o.parent().refused[c.Reason()].Inc()
		o.cutOff()
	}
}

// errRefused is the error of a request that was refused or cut off: it was certainly not carried out.
func errRefused(reason intake.Reason) error {
	text := "too many requests are being read"
	switch reason {
	case intake.TooSlow:
		text = "the request has arrived too slowly"
	case intake.OutOfConnections:
		text = "too many connections"
	case intake.OutOfMemory:
	}
	return structs.NewRetryAfterError(structs.CodeUnavailable, retryAfter, "%s", text)
}
