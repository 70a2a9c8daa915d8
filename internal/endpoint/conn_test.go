package endpoint

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"dotterelhitch/internal/structs"
)

func nowPlus(d time.Duration) time.Time { return time.Now().Add(d) }

func wantAnswered(t *testing.T, r Result) {
	t.Helper()
	if r.Outcome != structs.OutcomeAnswered {
		t.Fatalf("got %s %v, want answered", r.Outcome, r.Err)
	}
}

func TestAgeOfAConnectionDecidesItsReuse(t *testing.T) {
	for _, c := range []struct {
		idle       time.Duration
		idempotent bool
		dials      int
	}{
		{defaultFreshFor / 2, false, 1},
		{defaultFreshFor * 2, false, 2},
		{defaultFreshFor * 2, true, 1},
		{defaultIdleFor * 2, true, 2},
	} {
		synctest.Test(t, func(t *testing.T) {
			client, f := newFake(t, echo, Options{})
			wantAnswered(t, send(client, "r1", c.idempotent))
			time.Sleep(c.idle)
			wantAnswered(t, send(client, "r2", c.idempotent))
			if f.dialled() != c.dials {
				t.Errorf("idle for %v, idempotent %v: %d connections, want %d", c.idle, c.idempotent, f.dialled(), c.dials)
			}
		})
	}
}

func TestSilentConnectionIsLeftAndItsLateAnswerDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		play := func(n int, c net.Conn) {
			if n > 1 {
				echo(n, c)
				return
			}
			id, _ := readRequest(bufio.NewReader(c))
			time.Sleep(testTimeout + time.Second)
			reply(c, id, "late")
		}
		client, f := newFake(t, play, Options{})
		start := time.Now()
		got := send(client, "r1", false)
		if got.Outcome != structs.OutcomeUnknown || time.Since(start) != testTimeout {
			t.Fatalf("got %s %v after %v, want unknown at the deadline", got.Outcome, got.Err, time.Since(start))
		}
		next := send(client, "r2", false)
		wantAnswered(t, next)
		if string(next.Body) != "body of r2" || f.dialled() != 2 {
			t.Fatalf("body %q over %d connections", next.Body, f.dialled())
		}
		time.Sleep(2 * time.Second)
		synctest.Wait()
		if late := f.lates(); len(late) != 1 || late[0].Request != "r1" || late[0].Worker != "w1" {
			t.Fatalf("late answers %+v, want one to r1", late)
		}
	})
}

func TestSurplusAnswerIsDropped(t *testing.T) {
	for name, together := range map[string]bool{"with the first": true, "afterwards": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				client, f := newFake(t, twice(together), Options{})
				wantAnswered(t, send(client, "r1", true))
				time.Sleep(time.Second / 10)
				synctest.Wait()
				next := send(client, "r2", true)
				wantAnswered(t, next)
				if string(next.Body) != "body of r2" || len(f.lates()) < 1 || f.dialled() != 2 {
					t.Fatalf("body %q, %d late, %d connections", next.Body, len(f.lates()), f.dialled())
				}
			})
		})
	}
}

// twice answers the first request of a connection two times.
func twice(together bool) script {
	return func(_ int, c net.Conn) {
		w := bufio.NewWriter(c)
		r := bufio.NewReader(c)
		id, _ := readRequest(r)
		reply(w, id, "body of "+id)
		if !together {
			_ = w.Flush()
		}
		reply(w, id, "body of "+id)
		_ = w.Flush()
		_, _ = r.ReadByte()
	}
}

func TestRefusalWithoutIDOnReusedConnectionIsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		play := func(_ int, c net.Conn) {
			r := bufio.NewReader(c)
			id, _ := readRequest(r)
			reply(c, id, "first")
			_, _ = readRequest(r)
			refuse(c, "", structs.CodeOverload)
		}
		client, _ := newFake(t, play, Options{})
		wantAnswered(t, send(client, "r1", false))
		if got := send(client, "r2", false); got.Outcome != structs.OutcomeUnknown {
			t.Fatalf("got %s %v, want unknown", got.Outcome, got.Err)
		}
	})
}

// closing is a connection that its far end closes as the second request begins.
type closing struct {
	net.Conn
	writes   atomic.Int32
	accepted int
}

func (c *closing) Write(b []byte) (int, error) {
	if c.writes.Add(1) == 1 {
		return c.Conn.Write(b)
	}
	return c.accepted, io.ErrClosedPipe
}

func TestConnectionClosedWhileTheRequestIsSent(t *testing.T) {
	for accepted, want := range map[int]structs.Outcome{
		0: structs.OutcomeAnswered, // nothing left: sent once more, on a new connection
		1: structs.OutcomeUnknown,
	} {
		synctest.Test(t, func(t *testing.T) {
			client, f := newFake(t, echo, Options{})
			dial := client.pool.opts.Dial
			client.pool.opts.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
				c, err := dial(ctx, addr)
				if f.dialled() > 1 {
					return c, err
				}
				return &closing{Conn: c, accepted: accepted}, err
			}
			wantAnswered(t, send(client, "r1", false))
			got := send(client, "r2", false)
			if got.Outcome != want {
				t.Errorf("after %d bytes: got %s %v, want %s", accepted, got.Outcome, got.Err, want)
			}
		})
	}
}

func TestIdleConnectionClosedByTheEndpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		play := func(_ int, c net.Conn) {
			id, _ := readRequest(bufio.NewReader(c))
			reply(c, id, "only one")
		}
		client, f := newFake(t, play, Options{})
		for _, id := range []string{"r1", "r2", "r3"} {
			wantAnswered(t, send(client, id, false))
			synctest.Wait()
		}
		if f.dialled() != 3 || len(client.pool.hosts) != 0 {
			t.Fatalf("%d connections, %d hosts left", f.dialled(), len(client.pool.hosts))
		}
	})
}

func TestConnectionsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client, f := newFake(t, silent, Options{})
		const bound, requests = 4, 10
		target := Target{Worker: "w1", Addr: "a", Connections: bound + controlConnections}
		var wg sync.WaitGroup
		var refusals atomic.Int32
		for range requests {
			wg.Go(func() {
				res := client.Send(t.Context(), target, FencingToken{}, structs.Request{ID: "r"}, nowPlus(testTimeout))
				if res.Outcome == structs.OutcomeNotRun && res.Err.Code == structs.CodeOverload {
					refusals.Add(1)
				}
			})
		}
		wg.Wait()
		if f.dialled() != bound || refusals.Load() != requests-bound {
			t.Errorf("%d connections, %d refusals", f.dialled(), refusals.Load())
		}
		time.Sleep(2 * defaultLingerFor)
		synctest.Wait()
		if len(client.pool.hosts) != 0 {
			t.Errorf("connections are still counted after all have ended")
		}
	})
}

func TestCancelEndsAnAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client, _ := newFake(t, silent, Options{})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		start := time.Now()
		got := client.Send(ctx, Target{Addr: "a"}, FencingToken{}, structs.Request{ID: "r1"}, nowPlus(time.Minute))
		if got.Outcome != structs.OutcomeUnknown || time.Since(start) != time.Second {
			t.Fatalf("got %s %v after %v", got.Outcome, got.Err, time.Since(start))
		}
	})
}
