package integration

import (
	"encoding/json"
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	"dotterelhitch/internal/caller"
	"dotterelhitch/internal/checker"
	"dotterelhitch/internal/event"
	"dotterelhitch/internal/instancelist"
	"dotterelhitch/internal/standin"
	"dotterelhitch/internal/standin/listsvc"
	"dotterelhitch/internal/structs"
)

// TestAllMembersAreReplacedWhileFrozen freezes every entry with keyed requests at
// endpoints. The list calls the entries gone, fresh ones take the cell over by a forced
// change, and callers repeat their requests there. Then the frozen ones wake under load.
func TestAllMembersAreReplacedWhileFrozen(t *testing.T) {
	const tickets, callers, between = 8, 8, 200
	c := startCell(t)
	c.startEntries("casa", "casa", "casa")
	old := c.entries
	l := c.serve()
	stop := l.run(seed(), callers)
	l.more(between)
	stop()
	c.setService(3000)
	before := c.attempts()
	var asked sync.WaitGroup
	ask := func(i, round int) {
		call := caller.Call{Class: className, Key: fmt.Sprintf("ticket-%d", i), Deadline: 2 * time.Second}
		call.ClientID = fmt.Sprintf("%s-%d", call.Key, round)
		call.Body = []byte(call.Key)
		l.ask(l.clients[i%len(l.clients)], call)
	}
	for i := range tickets {
		asked.Go(func() { ask(i, 0) })
	}
	await(t, "every request is at an endpoint", func() bool { return c.attempts() >= before+tickets })
	var gone listsvc.PutRequest
	for _, p := range old {
		c.signal(p, syscall.SIGSTOP, checker.FaultFrozen)
		gone.Entries = append(gone.Entries, instancelist.Entry{ID: p.addr.Member, State: structs.WorkerRemoved})
	}
	asked.Wait()
	body, err := json.Marshal(gone)
	if err != nil {
		t.Fatal(err)
	}
	c.admin(standin.ListName, "/admin/instances", string(body))
	c.setService(5)
	fresh := []*process{c.startEntry("fresh-0", "casa"), c.startEntry("fresh-1", "casa")}
	for _, p := range old {
		await(t, p.name+" is removed", func() bool { return c.saw(fresh[0].name, event.MemberRemoved, p.addr.Member) })
	}
	c.entries = fresh
	l.clients = newLoad(c).clients
	for _, client := range l.clients {
		l.answers(client)
	}
	for i := range tickets {
		ask(i, 1)
	}
	c.entries = append(c.entries, old...)
	l.clients = newLoad(c).clients
	stop = l.run(seed()+1, callers)
	for _, p := range old {
		c.signal(p, syscall.SIGCONT, checker.FaultThawed)
	}
	for _, p := range old {
		await(t, p.name+" has ended", func() bool { return c.saw(p.name, event.EntryExit, p.addr.Member) })
	}
	l.more(between)
	stop()
	l.answers(l.clients[0])
	l.report()
}
