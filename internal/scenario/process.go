package scenario

import (
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/juju/errors"

	"dotterelhitch/internal/command/entry"
	"dotterelhitch/internal/standin"
	"dotterelhitch/internal/structs"
)

// Bounds of waiting for a process.
const (
	startWithin = 30 * time.Second
	pollEvery   = 20 * time.Millisecond
)

// process is a program that a script started.
type process struct {
	name string
	cmd  *exec.Cmd
	done chan struct{}
	// worker and member name what the process is in events; at most one is set.
	worker, member string
	// addrs holds where it listens, by name.
	addrs map[string]string
}

// start starts a program with its logs and event log in the working directory.
func (r *run) start(name, program string, args ...string) (*process, error) {
	if old, ok := r.procs[name]; ok && old.alive() {
		return nil, structs.NewError(structs.CodeConflict, "%s runs already", name)
	}
	logFile, err := os.OpenFile(filepath.Join(r.work, logsDir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer logFile.Close()
	p := &process{name: name, cmd: exec.Command(filepath.Join(r.bin, program), args...), done: make(chan struct{})}
	p.cmd.Stdout = logFile
	p.cmd.Stderr = logFile
	p.cmd.Dir = r.work
	if err := p.cmd.Start(); err != nil {
		return nil, errors.Trace(err)
	}
	r.procs[name] = p
	go func() {
		_ = p.cmd.Wait()
		close(p.done)
	}()
	return p, nil
}

func (p *process) alive() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

func (p *process) signal(s syscall.Signal) error {
	if !p.alive() {
		return structs.NewError(structs.CodeNotFound, "%s has ended", p.name)
	}
	return errors.Trace(p.cmd.Process.Signal(s))
}

// kill ends the process at once and waits for it.
func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

// find returns a process by its name.
func (r *run) find(name string) (*process, error) {
	p, ok := r.procs[name]
	if !ok {
		return nil, structs.NewError(structs.CodeNotFound, "no process %s was started", name)
	}
	return p, nil
}

func (r *run) addrFile(name string) string {
	return filepath.Join(r.work, name+".addr")
}

func (r *run) eventFile(name string) string {
	return filepath.Join(r.work, eventsDir, name+".jsonl")
}

// awaitAddrs waits for the address file of a process and returns its content.
func (r *run) awaitAddrs(p *process) ([]byte, error) {
	deadline := time.Now().Add(startWithin)
	for time.Now().Before(deadline) {
		b, err := os.ReadFile(r.addrFile(p.name))
		if err == nil {
			return b, nil
		}
		select {
		case <-p.done:
			return nil, structs.NewError(structs.CodeUnavailable, "%s ended at its start; see its log", p.name)
		case <-time.After(pollEvery):
		}
	}
	return nil, structs.NewError(structs.CodeDeadline, "%s did not listen in %v", p.name, startWithin)
}

// startStandin starts hitch-standin and learns its addresses.
func (r *run) startStandin(name string, args ...string) (*process, error) {
	_ = os.Remove(r.addrFile(name))
	args = append(args, "--addr-file", r.addrFile(name), "--events", r.eventFile(name))
	p, err := r.start(name, "hitch-standin", args...)
	if err != nil {
		return nil, err
	}
	b, err := r.awaitAddrs(p)
	if err != nil {
		return nil, err
	}
	var file struct {
		Addresses []standin.Address `json:"addresses"`
	}
	if err := json.Unmarshal(b, &file); err != nil {
		return nil, errors.Trace(err)
	}
	p.addrs = make(map[string]string)
	for _, a := range file.Addresses {
		p.addrs[a.Name] = a.Addr
	}
	return p, nil
}

// Names of an entry's addresses.
const (
	callerAddr   = "caller"
	operatorAddr = "operator"
	peerAddr     = "peer"
	metricsAddr  = "metrics"
)

// startEntryProcess starts hitch-entry and learns its addresses and member ID.
func (r *run) startEntryProcess(name, settings string) (*process, error) {
	_ = os.Remove(r.addrFile(name))
	p, err := r.start(name, "hitch-entry", "--settings", settings, "--addr-file", r.addrFile(name))
	if err != nil {
		return nil, err
	}
	b, err := r.awaitAddrs(p)
	if err != nil {
		return nil, err
	}
	var a entry.Addresses
	if err := json.Unmarshal(b, &a); err != nil {
		return nil, errors.Trace(err)
	}
	p.member = a.Member
	p.addrs = map[string]string{callerAddr: a.Caller, operatorAddr: a.Operator, peerAddr: a.Peer, metricsAddr: a.Metrics}
	return p, nil
}
