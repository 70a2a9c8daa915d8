package integration

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"dotterelhitch/internal/caller"
	"dotterelhitch/internal/checker"
	"dotterelhitch/internal/event"
	"dotterelhitch/internal/operator"
	"dotterelhitch/internal/settings"
	"dotterelhitch/internal/standin"
	"dotterelhitch/internal/structs"
)

// The link between the regions.
const (
	linkDelay = "8ms"
	linkMbit  = "30"
	linkName  = "link"
)

// The ports for entries whose address has to be known before they start: outside the
// range from which the system gives ports to listeners and connections of other tests,
// which would otherwise take one in between.
const (
	firstPort = 12000
	portCount = 16000
)

// freeAddrs returns loopback addresses that nobody listens at.
func freeAddrs(t *testing.T, n int) []string {
	t.Helper()
	var addrs []string
	for len(addrs) < n {
		addr := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(portCount))
		l, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		defer l.Close()
		addrs = append(addrs, addr)
	}
	return addrs
}

// startRegions starts entries of casa, which has the log, and of fes. All that goes
// between the two goes over one link.
func (c *cell) startRegions(casa, fes int) {
	c.t.Helper()
	peers := freeAddrs(c.t, casa+fes)
	args := []string{"relay", "--delay", linkDelay, "--mbit", linkMbit}
	for _, target := range append(peers[:casa:casa], c.addresses[standin.LogName], c.addresses[standin.ListName]) {
		args = append(args, "--route", "127.0.0.1:0="+target)
	}
	for _, target := range peers[casa:] {
		args = append(args, "--back-route", "127.0.0.1:0="+target)
	}
	link := c.startNamed(linkName, args...)
	c.addresses[linkName] = link["admin"]
	for i, peer := range peers {
		at := entryPlace{
			name: fmt.Sprintf("casa-%d", i), region: "casa", peer: peer, far: link[fmt.Sprintf("route%d", i)],
			logAddr: c.addresses[standin.LogName], listAddr: c.addresses[standin.ListName],
		}
		if i >= casa {
			at.name, at.region, at.far = fmt.Sprintf("fes-%d", i-casa), "fes", link[fmt.Sprintf("back%d", i-casa)]
			at.logAddr, at.listAddr = link[fmt.Sprintf("route%d", casa)], link[fmt.Sprintf("route%d", casa+1)]
		}
		c.entries = append(c.entries, c.startEntryAt(at))
	}
}

// operators returns a client of one entry's operators' interface, which records
// what it is told.
func (c *cell) operators(p *process) *operator.Client {
	return &operator.Client{ServerURLs: []string{"http://" + p.addr.Operator}, HTTP: http.DefaultClient, Events: c.recorder}
}

// answers waits until an entry answers a request.
func (l *load) answers(client *caller.Client) {
	l.c.t.Helper()
	await(l.c.t, "an answer", func() bool {
		a := client.Do(context.Background(), caller.Call{Class: className, Idempotent: true, Deadline: 2 * time.Second, Body: []byte("x")})
		return a.Outcome == structs.OutcomeAnswered
	})
}

// TestRegionsLoseEachOther cuts the link for longer than authority and leases
// last: each region goes on serving its callers. A worker is declared as leaving and a class is changed meanwhile, in the
// region of the log; both regions' callers go on asking. Then the link is healed.
func TestRegionsLoseEachOther(t *testing.T) {
	const callers, between = 8, 150
	c := startCell(t)
	c.startRegions(2, 2)
	l := c.serve()
	stop := l.run(seed(), callers)
	l.more(between)

	c.admin(linkName, "/admin/cut", "")
	timing := settings.Default().Timing
	time.Sleep(timing.Authority + timing.Lease)
	for _, client := range l.clients {
		l.answers(client)
	}
	l.cut(c.entries)
	c.changeDuringCut()
	l.more(between)
	c.admin(linkName, "/admin/heal", "")
	c.awaitVersions()
	c.reviveEntries(l)
	l.more(between)
	stop()
	l.report()
}

// TestLinkGoesSilent has every open connection over the link go silent for good,
// twice, while new ones work.
func TestLinkGoesSilent(t *testing.T) {
	const callers, between = 8, 200
	c := startCell(t)
	c.startRegions(2, 2)
	l := c.serve()
	stop := l.run(seed(), callers)
	for range 2 {
		l.more(between)
		c.admin(linkName, "/admin/silence", "")
	}
	l.more(between)
	stop()
	for _, client := range l.clients {
		l.answers(client)
	}
	for _, p := range c.entries {
		if c.saw(c.entries[0].name, event.MemberRemoved, p.addr.Member) {
			t.Errorf("%s was removed while new connections worked", p.name)
		}
	}
	l.report()
}

// TestRelayingMemberFails freezes, and in another run kills, the member of fes
// through which the region reads the control stream. A change that is accepted
// meanwhile reaches the other member of fes.
func TestRelayingMemberFails(t *testing.T) {
	for state, sig := range map[string]syscall.Signal{checker.FaultFrozen: syscall.SIGSTOP, checker.FaultKilled: syscall.SIGKILL} {
		t.Run(state, func(t *testing.T) {
			t.Parallel()
			c := startCell(t)
			c.startRegions(2, 3)
			l := c.serve()
			random := rand.New(rand.NewPCG(seed(), 0))
			relaying, other := c.entries[2], c.entries[3]
			c.signal(relaying, sig, state)
			l.clients = append(l.clients[:2:2], l.clients[3:]...)
			got, err := c.operators(c.entries[0]).SetLeaving(context.Background(), structs.LeavingDeclaration{Instance: "fes-w0"}, false, 0)
			if err != nil {
				t.Fatal(err)
			}
			await(t, "the other member of the region knows", func() bool { return c.saw(other.name, event.LeavingInForce, "fes-w0") })
			t.Logf("seed %d: declared at version %d", seed(), got.Version)
			for range 40 {
				l.work(random)
			}
			for _, client := range l.clients {
				l.answers(client)
			}
			l.report()
		})
	}
}

// changeDuringCut declares a worker as leaving and changes the class.
func (c *cell) changeDuringCut() {
	c.t.Helper()
	operators := c.operators(c.entries[0])
	if _, err := operators.SetLeaving(context.Background(), structs.LeavingDeclaration{Instance: "fes-w1"}, false, 0); err != nil {
		c.t.Errorf("leaving: %v", err)
	}
	class, err := operators.Class(context.Background(), className)
	if err != nil {
		c.t.Errorf("class: %v", err)
	}
	base := class.Version
	class.Target.AnswerWithin = structs.Duration(1500 * time.Millisecond)
	if _, err := operators.SetClass(context.Background(), class, base); err != nil {
		c.t.Errorf("class: %v", err)
	}
}

// awaitVersions waits until every entry that still runs has seen the declaration.
func (c *cell) awaitVersions() {
	c.t.Helper()
	for _, p := range c.entries {
		await(c.t, p.name+" knows the declaration or has ended", func() bool {
			return c.saw(p.name, event.LeavingInForce, "fes-w1") || c.saw(p.name, event.EntryExit, p.addr.Member)
		})
	}
}

// reviveEntries asks every entry that still runs for an answer.
func (c *cell) reviveEntries(l *load) {
	c.t.Helper()
	for i, p := range c.entries {
		removed := c.saw(p.name, event.EntryExit, p.addr.Member)
		c.t.Logf("%s ended: %t", p.name, removed)
		if !removed {
			l.answers(l.clients[i])
		}
	}
}

// cut logs what each entry's callers get while the regions don't reach each other.
func (l *load) cut(entries []*process) {
	for i, p := range entries {
		for _, key := range []string{"", "cut-key-" + p.name} {
			a := l.ask(l.clients[i], caller.Call{
				Class: className, Key: key, Idempotent: key == "", Deadline: 2 * time.Second,
				ClientID: "cut-" + p.name + key, Body: []byte("ticket"),
			})
			l.c.t.Logf("link cut, %s, key %q: %s %v", p.name, key, a.Outcome, a.Err)
		}
	}
}
