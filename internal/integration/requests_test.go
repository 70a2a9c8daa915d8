package integration

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"dotterelhitch/internal/caller"
	"dotterelhitch/internal/checker"
	"dotterelhitch/internal/event"
	"dotterelhitch/internal/httpx"
	"dotterelhitch/internal/operator"
	"dotterelhitch/internal/standin/workersvc"
	"dotterelhitch/internal/structs"
)

const className = "tickets"

// load sends requests from several callers at once to random entries.
type load struct {
	c *cell
	// next counts requests, ended those with an outcome.
	next, ended atomic.Int64
	outcomes    sync.Map
	clients     []*caller.Client
}

func newLoad(c *cell) *load {
	l := &load{c: c}
	for _, p := range c.entries {
		l.clients = append(l.clients, &caller.Client{
			BaseURL: "http://" + p.addr.Caller, HTTP: &http.Client{Transport: httpx.NewTransport(c.clock)},
		})
	}
	return l
}

// maxRepeats bounds the repeats of a request with a key.
const maxRepeats = 4

// work sends one request; of every four, two are idempotent, one is not, and one
// bears a key under which it is repeated at other entries until it is answered.
func (l *load) work(random *rand.Rand) {
	n := l.next.Add(1)
	call := caller.Call{
		Class: className, Idempotent: n%2 == 0, Deadline: 2 * time.Second,
		Body: []byte(fmt.Sprintf("answer-bytes=%d;ticket %d", random.IntN(4096), n)),
	}
	if n%4 == 1 {
		call.Key = fmt.Sprintf("key-%d", n)
	}
	for repeat := range maxRepeats {
		call.ClientID = fmt.Sprintf("c%d-%d", n, repeat)
		a := l.ask(l.clients[random.IntN(len(l.clients))], call)
		waitAsTold(a)
		if call.Key == "" || a.Outcome == structs.OutcomeAnswered {
			return
		}
	}
}

// maxWait bounds the time that a refused caller waits.
const maxWait = 100 * time.Millisecond

// waitAsTold waits for the time after which a refusal says to come again.
func waitAsTold(a structs.Answer) {
	if a.Err != nil {
		time.Sleep(min(time.Duration(a.Err.RetryAfterMs)*time.Millisecond, maxWait))
	}
}

// ask sends one request and records it as a caller would.
func (l *load) ask(client *caller.Client, call caller.Call) structs.Answer {
	l.c.recorder.Record(event.Event{
		Type: event.CallerRequestSent, Request: call.ClientID, Class: call.Class, Key: call.Key, Idempotent: call.Idempotent,
	})
	a := client.Do(context.Background(), call)
	e := event.Event{Type: event.CallerRequestEnded, Request: call.ClientID, Key: call.Key, Outcome: a.Outcome, Detail: a.RequestID}
	if a.Err != nil {
		e.Code = a.Err.Code
	}
	if a.Outcome == structs.OutcomeAnswered {
		e.Digest, e.ExpectedDigest = event.Digest(a.Body), event.Digest(workersvc.Answer(call.Body))
	}
	l.c.recorder.Record(e)
	l.ended.Add(1)
	kind := string(a.Outcome) + " " + string(e.Code)
	if call.Key != "" {
		kind = "keyed " + kind
	}
	count, _ := l.outcomes.LoadOrStore(kind, new(atomic.Int64))
	count.(*atomic.Int64).Add(1)
	return a
}

// count is the number of requests that ended with an outcome, whatever its code.
func (l *load) count(outcome string) (n int64) {
	l.outcomes.Range(func(kind, count any) bool {
		if strings.HasPrefix(strings.TrimPrefix(kind.(string), "keyed "), outcome+" ") {
			n += count.(*atomic.Int64).Load()
		}
		return true
	})
	return n
}

// run sends requests until stop is called, which waits for the last answers.
func (l *load) run(seed uint64, callers int) (stop func()) {
	var wg sync.WaitGroup
	done := make(chan struct{})
	for i := range callers {
		wg.Go(func() {
			random := rand.New(rand.NewPCG(seed, uint64(i)))
			for {
				select {
				case <-done:
					return
				default:
				}
				l.work(random)
				time.Sleep(time.Duration(random.IntN(int(5 * time.Millisecond))))
			}
		})
	}
	return func() {
		close(done)
		wg.Wait()
	}
}

// more waits until n further requests have ended.
func (l *load) more(n int64) {
	want := l.ended.Load() + n
	await(l.c.t, fmt.Sprintf("%d further requests", n), func() bool { return l.ended.Load() >= want })
}

// serve states the class and waits until every entry answers requests.
func (c *cell) serve() *load {
	c.t.Helper()
	c.setClass(structs.Class{
		Name: className, Kind: structs.KindService,
		Target: structs.Target{AnswerWithin: structs.Duration(time.Second)},
	})
	l := newLoad(c)
	for _, client := range l.clients {
		await(c.t, "an answer from every entry", func() bool {
			a := client.Do(context.Background(), caller.Call{Class: className, Idempotent: true, Body: []byte("x")})
			return a.Outcome == structs.OutcomeAnswered
		})
	}
	return l
}

// setClass states a new class.
func (c *cell) setClass(class structs.Class) {
	c.t.Helper()
	operators := &operator.Client{ServerURLs: []string{"http://" + c.entries[0].addr.Operator}, HTTP: http.DefaultClient}
	await(c.t, "the class "+class.Name+" is accepted", func() bool {
		got, err := operators.SetClass(context.Background(), class, 0)
		return err == nil && (got.Accepted || got.Version > 0)
	})
}

// admin posts to a stand-in's admin path.
func (c *cell) admin(name, path, body string) {
	c.t.Helper()
	resp, err := http.Post("http://"+c.addresses[name]+path, "application/json", strings.NewReader(body))
	if err != nil {
		c.t.Errorf("%s %s: %v", name, path, err)
		return
	}
	_ = resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		c.t.Errorf("%s %s: %s", name, path, resp.Status)
	}
}

// seed is that of HITCH_TEST_SEED, else 1.
func seed() uint64 {
	n, err := strconv.ParseUint(os.Getenv("HITCH_TEST_SEED"), 10, 64)
	if err != nil {
		return 1
	}
	return n
}

// TestRequestsThroughFaults sends requests through four entries while an entry is
// frozen, one is killed, one leaves, a worker loses answers, one is paused and
// one drains. The workers' own record decides what ran.
func TestRequestsThroughFaults(t *testing.T) {
	const callers, between = 16, 150
	c := startCell(t)
	c.startEntries("casa", "casa", "casa", "fes")
	l := c.serve()
	stop := l.run(seed(), callers)
	l.more(between)

	c.admin("casa-w0", "/admin/faults", `{"lose_answers":10}`)
	l.more(between)
	c.signal(c.entries[2], syscall.SIGSTOP, checker.FaultFrozen)
	l.more(between)
	c.signal(c.entries[2], syscall.SIGCONT, checker.FaultThawed)
	var paused sync.WaitGroup
	paused.Go(func() { c.admin("casa-w1", "/admin/pause", `{"pause_ms":1000}`) })
	l.more(between)
	c.signal(c.entries[1], syscall.SIGKILL, checker.FaultKilled)
	l.more(between)
	c.admin("casa-w2", "/admin/drain", `{}`)
	l.more(between)
	// The entry that was frozen may have been removed for that and have ended.
	if err := c.entries[3].cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	l.more(between)
	stop()
	paused.Wait()
	l.report()
}

// TestRequestsThroughGracefulShutdowns drains a worker and has an entry leave
// while requests are sent: nothing is cut off.
func TestRequestsThroughGracefulShutdowns(t *testing.T) {
	const callers, between = 16, 300
	c := startCell(t)
	c.startEntries("casa", "casa", "fes")
	l := c.serve()
	stop := l.run(seed(), callers)
	l.more(between)
	c.admin("casa-w2", "/admin/drain", `{}`)
	l.more(between)
	leaving := c.entries[1]
	if err := leaving.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	await(t, "the entry has left", func() bool {
		b, err := os.ReadFile(c.events("casa-1"))
		return err == nil && bytes.Contains(b, []byte(event.EntryExit))
	})
	l.more(between)
	stop()
	l.report()
}

// TestRequestsThroughSilentConnections has every open connection to the workers go
// silent for good, twice, and once those of the callers, while new ones work.
func TestRequestsThroughSilentConnections(t *testing.T) {
	const callers, between = 16, 300
	c := startCell(t)
	c.relayWorkers("worker-relay")
	c.startEntries("casa", "casa", "fes")
	var targets []string
	for _, p := range c.entries {
		targets = append(targets, p.addr.Caller)
	}
	for i, route := range c.relay("caller-relay", targets...) {
		c.entries[i].addr.Caller = route
	}
	l := c.serve()
	stop := l.run(seed(), callers)
	for _, relay := range []string{"worker-relay", "worker-relay", "caller-relay"} {
		l.more(between)
		c.admin(relay, "/admin/silence", "")
	}
	l.more(between)
	stop()
	for _, client := range l.clients {
		a := client.Do(context.Background(), caller.Call{Class: className, Body: []byte("x")})
		if a.Outcome != structs.OutcomeAnswered {
			t.Errorf("after the silence: %s %v", a.Outcome, a.Err)
		}
	}
	l.report()
}

// report has the checker read the run and logs what was checked.
func (l *load) report() {
	t := l.c.t
	t.Helper()
	counts := l.c.check()
	l.outcomes.Range(func(outcome, n any) bool {
		t.Logf("%s: %d", outcome, n.(*atomic.Int64).Load())
		return true
	})
	t.Logf("seed %d: %d requests, %d runs, %d answers compared, %d not run, %d unknown, %d faults, %d drains",
		seed(), l.ended.Load(), counts.RequestRuns, counts.Answers, counts.NotRun, counts.Unknown, counts.Faults, counts.Drains)
	if counts.Answers == 0 || counts.Faults+counts.Drains == 0 {
		t.Error("no request was answered, or no fault was recorded")
	}
}
