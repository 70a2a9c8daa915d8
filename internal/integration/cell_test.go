// Package integration tests the request path through real processes.
package integration

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"dotterelhitch/internal/checker"
	"dotterelhitch/internal/command/entry"
	"dotterelhitch/internal/event"
	"dotterelhitch/internal/instancelist"
	"dotterelhitch/internal/standin"
	"dotterelhitch/internal/standin/listsvc"
	"dotterelhitch/internal/structs"
	"dotterelhitch/internal/timeline"
)

// topologyWorkers is the number of workers of the topology.
const topologyWorkers = 6

const topology = `
[log]
appends_per_second = 400
[list]
lag = "500ms"
[[workers]]
prefix = "casa-w"
count = 4
region = "casa"
domain = "casa-1"
cores = 4
memory_gib = 8
slots = 4
service_time = "5ms"
[[workers]]
prefix = "fes-w"
count = 2
region = "fes"
domain = "fes-1"
cores = 4
memory_gib = 8
slots = 4
service_time = "5ms"
`

const entrySettings = `
worker_fencing = true
[entry]
id_prefix = %q
region = %q
domain = "%s-1"
[listen]
caller = %q
operator = %q
peer = %q
%s
metrics = "127.0.0.1:0"
[platform]
log = "http://%s"
list = "http://%s"
[auth]
insecure = true
[regions]
names = ["casa", "fes"]
store_region = "casa"
[events]
file = %q
`

// anyPort listens at a free port of the loopback interface.
const anyPort = "127.0.0.1:0"

// patience bounds every wait; no verdict depends on it.
const patience = 30 * time.Second

// cell is stand-ins and entries as processes.
type cell struct {
	t         *testing.T
	dir       string
	addresses map[string]string
	entries   []*process
	recorder  *event.Recorder
	clock     *event.Clock
	// bounds are those that the checker holds the run to.
	bounds checker.Options
}

// running is a process that a test started; ended closes when it has ended.
type running struct {
	cmd   *exec.Cmd
	ended chan struct{}
}

// process is an entry.
type process struct {
	*running
	addr entry.Addresses
	name string
}

// startCell builds the programs and starts the stand-ins.
func startCell(t *testing.T) *cell {
	t.Helper()
	c := startPrograms(t)
	c.addresses = c.startNamed("standin", "all", "--topology", c.write("topology.toml", topology))
	return c
}

// startPrograms builds the programs for a cell.
func startPrograms(t *testing.T) *cell {
	t.Helper()
	c := &cell{t: t, dir: workDir(t), clock: new(event.Clock), bounds: checker.Options{LeavingBound: patience}}
	build := exec.Command("go", "build", "-o", c.dir, "dotterelhitch/cmd/hitch-entry", "dotterelhitch/cmd/hitch-standin")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	own, err := os.Create(c.events("caller"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = own.Close() })
	c.recorder = event.NewRecorder("caller", c.clock, own)
	return c
}

// workDir is a directory for the run, kept within HITCH_TEST_DIR if that is set.
func workDir(t *testing.T) string {
	t.Helper()
	keep := os.Getenv("HITCH_TEST_DIR")
	if keep == "" {
		return t.TempDir()
	}
	dir, err := os.MkdirTemp(keep, t.Name())
	if err != nil {
		t.Fatal(err)
	}
	return dir
}

// startEntries starts an entry in each region that is named.
func (c *cell) startEntries(regions ...string) {
	c.t.Helper()
	for i, region := range regions {
		c.entries = append(c.entries, c.startEntry(fmt.Sprintf("%s-%d", region, i), region))
	}
}

func (c *cell) events(name string) string { return filepath.Join(c.dir, name+".jsonl") }

func (c *cell) write(name, text string) string {
	path := filepath.Join(c.dir, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		c.t.Fatal(err)
	}
	return path
}

// start runs a program until the test ends and waits for its address file.
func (c *cell) start(addrFile string, out any, program string, args ...string) *running {
	c.t.Helper()
	var stderr bytes.Buffer
	cmd := exec.Command(filepath.Join(c.dir, program), args...)
	cmd.Stderr = &stderr
	if err := cmd.Start(); err != nil {
		c.t.Fatal(err)
	}
	r := &running{cmd: cmd, ended: make(chan struct{})}
	go func() {
		defer close(r.ended)
		_ = cmd.Wait()
	}()
	c.t.Cleanup(func() {
		_ = cmd.Process.Signal(syscall.SIGCONT)
		_ = cmd.Process.Kill()
		<-r.ended
		if c.t.Failed() && os.Getenv("HITCH_TEST_LOGS") != "" {
			c.t.Logf("%s: %s", program, stderr.String())
		}
	})
	await(c.t, program+" listens", func() bool {
		b, err := os.ReadFile(addrFile)
		return err == nil && json.Unmarshal(b, out) == nil
	})
	return r
}

// startNamed starts a stand-in and returns its addresses by name.
func (c *cell) startNamed(name string, args ...string) map[string]string {
	c.t.Helper()
	addresses, _ := c.startStandin(name, args...)
	return addresses
}

// startStandin starts a stand-in and returns its addresses by name and its process.
func (c *cell) startStandin(name string, args ...string) (map[string]string, *running) {
	c.t.Helper()
	var ready struct{ Addresses []standin.Address }
	addrFile := filepath.Join(c.dir, name+".json")
	args = append(args, "--addr-file", addrFile, "--events", c.events(name))
	r := c.start(addrFile, &ready, "hitch-standin", args...)
	addresses := make(map[string]string)
	for _, a := range ready.Addresses {
		addresses[a.Name] = a.Addr
	}
	return addresses, r
}

// relay starts a relay to the targets and returns their new addresses in order.
func (c *cell) relay(name string, targets ...string) []string {
	c.t.Helper()
	args := []string{"relay"}
	for _, target := range targets {
		args = append(args, "--route", "127.0.0.1:0="+target)
	}
	addresses := c.startNamed(name, args...)
	c.addresses[name] = addresses["admin"]
	routes := make([]string, len(targets))
	for i := range routes {
		routes[i] = addresses[fmt.Sprintf("route%d", i)]
	}
	return routes
}

// relayWorkers puts a relay before every worker, in the instance list too.
func (c *cell) relayWorkers(name string) {
	c.t.Helper()
	list := instancelist.New(instancelist.Config{BaseURL: "http://" + c.addresses[standin.ListName]})
	var workers []structs.Worker
	// The stand-in adds the workers group by group: a list may hold some of them.
	await(c.t, "the instance list has every worker", func() bool {
		got, err := list.Read(context.Background(), 0, 0)
		workers = got.Instances
		return err == nil && len(workers) == topologyWorkers
	})
	var targets []string
	for _, w := range workers {
		targets = append(targets, w.Addr)
	}
	for i, route := range c.relay(name, targets...) {
		workers[i].Addr = route
	}
	body, err := json.Marshal(listsvc.PutRequest{Instances: workers})
	if err != nil {
		c.t.Fatal(err)
	}
	c.admin(standin.ListName, "/admin/instances", string(body))
	await(c.t, "the instance list has the relayed addresses", func() bool {
		got, err := list.Read(context.Background(), 0, 0)
		return err == nil && len(got.Instances) == len(workers) && got.Instances[0].Addr == workers[0].Addr
	})
}

// entryPlace is where an entry stands and what it reaches.
type entryPlace struct {
	name, region      string
	logAddr, listAddr string
	// caller, operator and peer are where it listens; empty for any free port.
	caller, operator, peer string
	// near and far are the addresses that it tells its peers, if not its own.
	near, far string
}

func (c *cell) startEntry(name, region string) *process {
	c.t.Helper()
	return c.startEntryAt(entryPlace{
		name: name, region: region,
		logAddr: c.addresses[standin.LogName], listAddr: c.addresses[standin.ListName],
	})
}

func (c *cell) startEntryAt(at entryPlace) *process {
	c.t.Helper()
	name, advertise := at.name, ""
	if at.near != "" {
		advertise += fmt.Sprintf("advertise_peer = %q\n", at.near)
	}
	if at.far != "" {
		advertise += fmt.Sprintf("advertise_far = %q\n", at.far)
	}
	text := fmt.Sprintf(entrySettings, name, at.region, at.region,
		cmp.Or(at.caller, anyPort), cmp.Or(at.operator, anyPort), cmp.Or(at.peer, anyPort),
		advertise, at.logAddr, at.listAddr, c.events(name))
	p := &process{name: name}
	addrFile := filepath.Join(c.dir, name+".json")
	p.running = c.start(addrFile, &p.addr, "hitch-entry", "--settings", c.write(name+".toml", text), "--addr-file", addrFile)
	return p
}

// signal sends a signal to an entry and records the fault for the checker.
func (c *cell) signal(p *process, sig syscall.Signal, state string) {
	c.t.Helper()
	if err := p.cmd.Process.Signal(sig); err != nil {
		c.t.Fatal(err)
	}
	c.recorder.Record(event.Event{Type: event.FaultInjected, Member: p.addr.Member, State: state})
}

// timeline reads every process's events.
func (c *cell) timeline() []event.Event {
	c.t.Helper()
	paths, err := filepath.Glob(filepath.Join(c.dir, "*.jsonl"))
	if err != nil {
		c.t.Fatal(err)
	}
	events, _, err := timeline.ReadFiles(paths)
	if err != nil {
		c.t.Fatal(err)
	}
	return events
}

// check fails the test for each violation in the time line.
func (c *cell) check() checker.Counts {
	c.t.Helper()
	events := c.timeline()
	report := checker.Check(events, c.bounds)
	for _, v := range report.Violations {
		c.t.Errorf("%s: %s", v.Kind, v.Message)
	}
	return report.Checked
}

// await polls until ok holds.
func await(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(patience); !ok(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("not seen in time: %s", what)
		}
	}
}
