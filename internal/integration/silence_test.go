package integration

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"dotterelhitch/internal/caller"
	"dotterelhitch/internal/event"
	"dotterelhitch/internal/operator"
	"dotterelhitch/internal/settings"
	"dotterelhitch/internal/standin"
	"dotterelhitch/internal/standin/relay"
	"dotterelhitch/internal/structs"
)

const batchName = "nightly"

// configBound is the time within which a change is in force everywhere.
const configBound = 15 * time.Second

// newRelay returns a relay within the test's process.
func (c *cell) newRelay() *relay.Relay {
	r := relay.New(relay.Shape{}, c.recorder)
	c.t.Cleanup(r.Close)
	return r
}

// route adds a route to a relay and returns its address.
func (c *cell) route(r *relay.Relay, target string) string {
	c.t.Helper()
	addr, err := r.AddRoute(anyPort, target)
	if err != nil {
		c.t.Fatal(err)
	}
	return addr
}

// startBehindRelays starts n entries of casa, each of which its peers reach through
// a relay of its own.
func (c *cell) startBehindRelays(n int) (inbound []*relay.Relay) {
	c.t.Helper()
	for i, peer := range freeAddrs(c.t, n) {
		r := c.newRelay()
		inbound = append(inbound, r)
		c.entries = append(c.entries, c.startEntryAt(entryPlace{
			name: fmt.Sprintf("casa-%d", i), region: "casa", peer: peer, near: c.route(r, peer),
			logAddr: c.addresses[standin.LogName], listAddr: c.addresses[standin.ListName],
		}))
	}
	return inbound
}

// forwarded reads how many requests an entry has sent to its peers.
func (c *cell) forwarded(p *process) (n int) {
	c.t.Helper()
	const name = `hitch_requests_forwarded_total{to="region"} `
	resp, err := http.Get("http://" + p.addr.Metrics + "/metrics")
	if err != nil {
		c.t.Fatal(err)
	}
	defer resp.Body.Close()
	for lines := bufio.NewScanner(resp.Body); lines.Scan(); {
		if text, ok := strings.CutPrefix(lines.Text(), name); ok {
			n, _ = strconv.Atoi(text)
		}
	}
	return n
}

// awaitForwards waits until an entry has sent n more requests to its peers.
func (c *cell) awaitForwards(from *process, n int) {
	c.t.Helper()
	want := c.forwarded(from) + n
	await(c.t, from.name+" forwards requests", func() bool { return c.forwarded(from) >= want })
}

// answeredThrough counts the requests that an entry took since the mark, that another
// sent to a worker and that were answered.
func (c *cell) answeredThrough(from *process, mark event.Time) (n int) {
	took, others := map[string]bool{}, map[string]bool{}
	for _, e := range c.timeline() {
		own := e.Proc == from.addr.Member
		switch {
		case e.Type == event.RequestReceived && own && mark.Before(e.Time):
			took[e.Request] = true
		case e.Type == event.RequestAttempt && !own:
			others[e.Request] = true
		case e.Type == event.RequestAnswered && own && e.Outcome == structs.OutcomeAnswered && took[e.Request] && others[e.Request]:
			n++
		}
	}
	return n
}

// requireMembers fails the test if since the mark a member was removed or lost its
// authority.
func (c *cell) requireMembers(mark event.Time) {
	c.t.Helper()
	for _, e := range c.timeline() {
		if mark.Before(e.Time) && (e.Type == event.MemberRemoved || e.Type == event.AuthorityLost) {
			c.t.Errorf("%s of %s while new connections worked", e.Type, e.Member)
		}
	}
}

// shareWorkers adds workers until every entry owns one.
func (c *cell) shareWorkers() {
	c.t.Helper()
	for i := 0; !c.allOwnWorkers(); i++ {
		c.gainNewWorker(fmt.Sprintf("casa-more%d", i))
	}
}

func (c *cell) allOwnWorkers() bool {
	for _, p := range c.entries {
		if !c.saw(p.name, event.WorkerGained, "casa-") {
			return false
		}
	}
	return true
}

// TestPeerConnectionsGoSilent has the open connections to one entry, to another, and
// to both at once go silent for good while new ones work. Forwarded requests, permits
// and copies of keys and heartbeats go on in both directions.
func TestPeerConnectionsGoSilent(t *testing.T) {
	const callers, between, forwards, serviceMs = 40, 200, 20, 60
	c := startCell(t)
	inbound := c.startBehindRelays(2)
	l := c.serve()
	c.shareWorkers()
	c.setService(serviceMs)
	began, clients := c.clock.Now(), l.clients
	for _, silenced := range [][]*relay.Relay{inbound[:1], inbound[1:], inbound} {
		for i, p := range c.entries {
			l.clients = clients[i : i+1]
			stop := l.run(seed(), callers)
			c.awaitForwards(p, forwards)
			for _, r := range silenced {
				r.Silence()
			}
			mark := c.clock.Now()
			l.more(between)
			c.awaitForwards(p, forwards)
			// The forwards counted above may all have gone over the connections that are silent.
			await(t, p.name+" gets an answer through its peer after the silence", func() bool { return c.answeredThrough(p, mark) > 0 })
			stop()
		}
	}
	time.Sleep(settings.Default().Timing.Authority)
	c.requireMembers(began)
	for _, client := range clients {
		l.answers(client)
		a := l.ask(client, caller.Call{Class: className, Key: "key-" + client.BaseURL, ClientID: client.BaseURL, Deadline: patience, Body: []byte("x")})
		if a.Outcome != structs.OutcomeAnswered {
			t.Errorf("a request with a key after the silence: %s %v", a.Outcome, a.Err)
		}
	}
	l.report()
}

// TestPlatformConnectionsGoSilent has the open connections of one entry to the log and
// to the instance list go silent for good while new ones work, in a cell of one entry
// and of three: a change is in force there, a job that it accepts ends, and it uses a
// worker that is new in the list.
func TestPlatformConnectionsGoSilent(t *testing.T) {
	for _, entries := range []int{1, 3} {
		t.Run(fmt.Sprintf("%d entries", entries), func(t *testing.T) {
			t.Parallel()
			platformGoesSilent(t, entries)
		})
	}
}

func platformGoesSilent(t *testing.T, entries int) {
	const callers, between, rounds = 8, 200, 1
	c := startCell(t)
	c.bounds.ConfigBound = configBound
	platform := c.newRelay()
	behind := c.startEntryAt(entryPlace{
		name: "behind", region: "casa",
		logAddr: c.route(platform, c.addresses[standin.LogName]), listAddr: c.route(platform, c.addresses[standin.ListName]),
	})
	c.entries = append(c.entries, behind)
	for i := range entries - 1 {
		c.entries = append(c.entries, c.startEntry(fmt.Sprintf("casa-%d", i), "casa"))
	}
	l := c.serve()
	c.setClass(structs.Class{Name: batchName, Kind: structs.KindBatch, Target: structs.Target{StartWithin: structs.Duration(time.Second)}})
	stop := l.run(seed(), callers)
	for round := range rounds {
		l.more(between)
		mark := c.clock.Now()
		platform.Silence()
		c.changeClass(c.operators(c.entries[len(c.entries)-1]), time.Duration(round+2)*time.Second)
		c.awaitInForce(behind, mark)
		c.changeClass(c.operators(behind), time.Duration(round+12)*time.Second)
		c.runJob(l.clients[0], fmt.Sprintf("job-%d", round))
		c.gainNewWorker(fmt.Sprintf("casa-new%d", round))
	}
	l.more(between)
	stop()
	l.answers(l.clients[0])
	await(t, "the entry has authority", func() bool {
		status, err := c.operators(behind).Status(context.Background())
		return err == nil && len(status.Entries) == entries && status.Entries[0].HasAuthority
	})
	l.report()
}

// changeClass states another target for the class.
func (c *cell) changeClass(operators *operator.Client, within time.Duration) {
	c.t.Helper()
	class, err := operators.Class(context.Background(), className)
	if err != nil {
		c.t.Fatal(err)
	}
	class.Target.AnswerWithin = structs.Duration(within)
	got, err := operators.SetClass(context.Background(), class, class.Version)
	if err != nil || !got.Accepted {
		c.t.Errorf("change of the class: accepted %t, %v", got.Accepted, err)
	}
}

// awaitInForce waits until an entry has a change in force since the mark.
func (c *cell) awaitInForce(p *process, mark event.Time) {
	c.t.Helper()
	await(c.t, "the change is in force at "+p.name, func() bool {
		for _, e := range c.timeline() {
			if e.Type == event.ConfigInForce && e.Proc == p.addr.Member && mark.Before(e.Time) {
				return true
			}
		}
		return false
	})
}

// runJob submits a job of two tasks and waits for its end.
func (c *cell) runJob(client *caller.Client, key string) {
	c.t.Helper()
	job := structs.Job{Class: batchName, Count: 2, Size: structs.Resources{CPUMilli: 100, MemoryMiB: 64}, RunTime: structs.Duration(50 * time.Millisecond)}
	var id string
	await(c.t, "the job is accepted", func() (ok bool) {
		var err error
		id, err = client.SubmitJob(context.Background(), job, key)
		return err == nil
	})
	await(c.t, "the job is complete", func() bool {
		status, err := client.JobStatus(context.Background(), id, time.Second)
		return err == nil && status.State == structs.JobComplete
	})
}

// gainNewWorker starts a worker that joins the list and waits until an entry owns it.
func (c *cell) gainNewWorker(id string) {
	c.t.Helper()
	c.startNamed(id, "worker", "--id", id, "--list", "http://"+c.addresses[standin.ListName])
	await(c.t, "the worker "+id+" is gained", func() bool {
		for _, p := range c.entries {
			if c.saw(p.name, event.WorkerGained, id) {
				return true
			}
		}
		return false
	})
}
