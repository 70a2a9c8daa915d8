// Command standin plays a case of the review: it starts the project's entries as processes, with
// stand-ins for the platform's store, the workers and the requesters on loopback addresses, brings the
// disruption of the case about unless TROUBLE=0, and checks the rule on what requesters and workers saw.
// It exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Size of the deployment, and the longest time of a case.
const (
	entryCount  = 3
	workerCount = 8
	longest     = 115 * time.Second
)

// play is a case that is played.
type play struct {
	ledger  *ledger
	store   *store
	entries []*entry
	workers []*worker
	users   *requesters
	// What an entry is started with.
	binary, dir, storeAddr string
	trouble                bool
	stop                   chan struct{} // closed at the end of the traffic
	traffic                sync.WaitGroup
}

var cases = map[string]func(*play) error{
	"reborn-kind":         rebornKind,
	"late-look":           lateLook,
	"controller-replaced": controllerReplaced,
	"earlier-born":        earlierBorn,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE HITCH-ENTRY RECORD")
		os.Exit(2)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2], os.Args[3]))
}

func run(scenario func(*play) error, binary, record string) (status int) {
	l, err := newLedger(record)
	if err != nil {
		return fail(err)
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return fail(err)
	}
	defer os.RemoveAll(dir)
	p := &play{ledger: l, store: newStore(), trouble: os.Getenv("TROUBLE") != "0", stop: make(chan struct{})}
	defer p.end()
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, os.Interrupt, syscall.SIGTERM)
	done := make(chan error, 1)
	go func() {
		if err := p.begin(binary, dir); err != nil {
			done <- err
			return
		}
		done <- scenario(p)
	}()
	select {
	case err = <-done:
	case <-ended:
		err = fmt.Errorf("interrupted")
	case <-time.After(longest):
		err = fmt.Errorf("the case took too long")
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		_ = os.CopyFS(filepath.Clean(keep), os.DirFS(dir))
	}
	if err != nil {
		l.logf("failed   %v", err)
		l.finish()
		return fail(err)
	}
	l.checkTwice()
	return l.finish()
}

func fail(err error) int {
	fmt.Fprintln(os.Stderr, err)
	return 2
}

func (p *play) begin(binary, dir string) error {
	p.store.write("keyed.op", "config", []byte(configuration))
	addr, err := serveStore(p.store)
	if err != nil {
		return err
	}
	for range workerCount {
		if _, err := p.addWorker(); err != nil {
			return err
		}
	}
	p.binary, p.dir, p.storeAddr = binary, dir, addr
	p.users = newRequesters(p.ledger)
	for range entryCount {
		if err := p.addEntry(); err != nil {
			return err
		}
	}
	until := time.Now().Add(15 * time.Second)
	for _, e := range p.entries {
		if err := e.awaitReady(until); err != nil {
			return err
		}
	}
	p.ledger.logf("ready    %d entries, %d workers, trouble %v", entryCount, workerCount, p.trouble)
	return nil
}

// addWorker boots one more worker.
func (p *play) addWorker() (*worker, error) {
	i := len(p.workers)
	delay := heartbeat * time.Duration(i%workerCount) / workerCount
	w, err := newWorker(p.ledger, p.store, workerName(i), loopback(100+i)+":7100", fmt.Sprintf("r%d", i/8), kindA, delay)
	if err == nil {
		p.workers = append(p.workers, w)
	}
	return w, err
}

// addEntry starts one more entry, at an address of its own.
func (p *play) addEntry() error {
	e, err := newEntry(p.binary, p.dir, len(p.entries), p.storeAddr)
	if err != nil {
		return err
	}
	p.entries = append(p.entries, e)
	p.users.add(e.addr)
	return nil
}

// leader returns the entry that the newest claim in the store names.
func (p *play) leader() (*entry, error) {
	var claim struct {
		Node string `json:"node"`
	}
	if err := json.Unmarshal(p.store.value("keyed.control", "controller"), &claim); err != nil {
		return nil, err
	}
	for _, e := range p.entries {
		if e.name == claim.Node {
			return e, nil
		}
	}
	return nil, fmt.Errorf("no entry %q", claim.Node)
}

// busiest returns the worker with the most runs.
func (p *play) busiest() *worker {
	best := p.workers[0]
	for _, w := range p.workers {
		if w.runCount() > best.runCount() {
			best = w
		}
	}
	return best
}

func (p *play) end() {
	for _, e := range p.entries {
		e.kill()
		_ = e.log.Close()
	}
}

// submitEach has n requesters hand in a job of next each time a pause has passed, until the end of the
// traffic. They ask for its state now and then.
func (p *play) submitEach(n int, pause time.Duration, next func() *jobSpec) {
	for range n {
		p.traffic.Go(func() {
			for {
				select {
				case <-p.stop:
					return
				case <-time.After(pause):
				}
				j := next()
				if p.users.submit(j) {
					p.users.state(j)
				}
			}
		})
	}
}

func (p *play) endTraffic() {
	close(p.stop)
	p.traffic.Wait()
	p.ledger.logf("traffic  has ended")
}
