package entry

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"dotterelhitch/internal/caller"
	"dotterelhitch/internal/standin"
	"dotterelhitch/internal/standin/relay"
	"dotterelhitch/internal/structs"
)

// unhurried is a wait for the appender that no load of the machine uses up.
const unhurried = time.Minute

// newAppendCell is a cell of three entries whose calls to the log take a while, so
// that the appender has changes in hand when it fails. The others wait for it for so long.
func newAppendCell(t *testing.T, wait time.Duration) (c *testCell, appender *Entry) {
	t.Helper()
	c = newTestCell(t, 0)
	slow := relay.New(relay.Shape{DelayMs: 50}, nil)
	t.Cleanup(slow.Close)
	addr, err := slow.AddRoute("127.0.0.1:0", c.cell.Addr(standin.LogName))
	if err != nil {
		t.Fatal(err)
	}
	for range 3 {
		c.startIn("casa", "http://"+addr, func(e *Entry) { e.forwardTimeout = wait })
	}
	c.awaitReady()
	c.setClass(structs.Class{Name: "reconcile", Kind: structs.KindBatch, Target: structs.Target{StartWithin: within(time.Second)}})
	var first structs.Member
	c.entries[0].do(func() { first = c.entries[0].core.table.StreamAppenders("casa-0")[0] })
	i := slices.IndexFunc(c.entries, func(e *Entry) bool { return e.member.ID == first.ID })
	appender = c.entries[i]
	for _, e := range others(c.entries, appender) {
		c.await("the appender", func() bool { return e.appends() == first.ID })
	}
	return c, appender
}

// appends returns the member that appends to the stream of the first group for an
// entry, empty if that is the entry itself.
func (e *Entry) appends() (id string) {
	e.do(func() {
		if s := e.core.streams["casa-0"]; s != nil {
			if m := s.appender.Load(); m != nil {
				id = m.ID
			}
		}
	})
	return id
}

// submissions is a number of jobs that are submitted at once through some entries,
// each repeated with its change ID until it is accepted.
type submissions struct {
	c       *testCell
	entries []*Entry
	ids     []string
	wg      sync.WaitGroup
}

func (c *testCell) submitAll(entries []*Entry, n int) *submissions {
	s := &submissions{c: c, entries: entries, ids: make([]string, n)}
	for i := range n {
		s.wg.Go(func() { s.submit(i) })
	}
	return s
}

func (s *submissions) submit(i int) {
	client := &caller.Client{BaseURL: "http://" + s.entries[i%len(s.entries)].CallerAddr()}
	job := structs.Job{
		Class:   "reconcile",
		Count:   2,
		Size:    structs.Resources{CPUMilli: 10, MemoryMiB: 8},
		RunTime: within(10 * time.Millisecond),
	}
	for s.ids[i] == "" {
		id, err := client.SubmitJob(context.Background(), job, fmt.Sprintf("change-%d", i))
		if err != nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		s.ids[i] = id
	}
}

// complete waits for all jobs, and checks that each is there once.
func (s *submissions) complete() {
	s.c.t.Helper()
	s.wg.Wait()
	client := &caller.Client{BaseURL: "http://" + s.entries[0].CallerAddr()}
	for _, id := range s.ids {
		s.c.await("the end of job "+id, func() bool {
			status, err := client.JobStatus(context.Background(), id, 5*time.Second)
			return err == nil && status.State == structs.JobComplete && status.Complete == 2
		})
	}
	jobs := -1
	s.entries[0].do(func() { jobs = len(s.entries[0].core.streams["casa-0"].table.All()) })
	if jobs != len(s.ids) {
		s.c.t.Errorf("%d jobs in the log, %d submitted", jobs, len(s.ids))
	}
}

func TestAppenderAppendsForItsGroup(t *testing.T) {
	c, appender := newAppendCell(t, unhurried)
	if got := appender.appends(); got != "" {
		t.Errorf("the appender appends through %s", got)
	}
	s := c.submitAll(others(c.entries, appender), 20)
	s.complete()
	for _, e := range others(c.entries, appender) {
		if got := e.appends(); got != appender.member.ID {
			t.Errorf("%s appends through %q after work without a failure", e.member.ID, got)
		}
	}
}

func TestAppenderDies(t *testing.T) {
	c, appender := newAppendCell(t, forwardTimeout)
	s := c.submitAll(others(c.entries, appender), 40)
	appender.Kill()
	s.complete()
}

func TestAppenderFreezes(t *testing.T) {
	c, appender := newAppendCell(t, forwardTimeout)
	rest := others(c.entries, appender)
	s := c.submitAll(rest, 40)
	thaw := freeze(appender)
	defer thaw()
	s.complete()
	for _, e := range rest {
		c.await("another appender", func() bool { return e.appends() != appender.member.ID })
	}
}
