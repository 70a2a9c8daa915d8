// Package scenario is a command set for testscript: whole-system scenarios against
// separate processes. Scripts start stand-ins and entries, inject faults, wait for
// events and end with the checker. Only tests use it.
package scenario

import (
	"os"
	"path/filepath"

	"github.com/rogpeppe/go-internal/testscript"

	"dotterelhitch/internal/event"
)

// Names within a script's working directory.
const (
	eventsDir = "events"
	logsDir   = "logs"
	procName  = "scenario"
)

// runKey finds the run in a script's values.
type runKey struct{}

// run is the state of one script.
type run struct {
	bin      string
	work     string
	events   *os.File
	recorder *event.Recorder
	tail     *tail
	procs    map[string]*process
	// standins is the process with the log service and the list.
	standins *process
	// entries are the names of entries in the order of their start.
	entries []string
}

// Params returns the parameters for the scripts of a directory. The programs are
// taken from bin.
func Params(bin, dir string) testscript.Params {
	return testscript.Params{
		Dir:   dir,
		Setup: func(env *testscript.Env) error { return setup(env, bin) },
		Cmds:  commands(),
	}
}

func setup(env *testscript.Env, bin string) error {
	for _, dir := range []string{eventsDir, logsDir} {
		if err := os.MkdirAll(filepath.Join(env.WorkDir, dir), 0o755); err != nil {
			return err
		}
	}
	events, err := os.Create(filepath.Join(env.WorkDir, eventsDir, procName+".jsonl"))
	if err != nil {
		return err
	}
	r := &run{
		bin:      bin,
		work:     env.WorkDir,
		events:   events,
		recorder: event.NewRecorder(procName, &event.Clock{}, events),
		tail:     newTail(filepath.Join(env.WorkDir, eventsDir)),
		procs:    make(map[string]*process),
	}
	env.Values[runKey{}] = r
	env.Setenv("PATH", bin+string(filepath.ListSeparator)+env.Getenv("PATH"))
	env.Setenv("EVENTS", filepath.Join(env.WorkDir, eventsDir))
	env.Defer(r.close)
	return nil
}

// close ends the processes that the script left running.
func (r *run) close() {
	for _, p := range r.procs {
		p.kill()
	}
	_ = r.events.Close()
}

// command is a command of the scripts; it returns an error instead of failing.
type command func(r *run, ts *testscript.TestScript, args []string) error

func commands() map[string]func(*testscript.TestScript, bool, []string) {
	cmds := make(map[string]func(*testscript.TestScript, bool, []string))
	for name, do := range map[string]command{
		"standins":   startStandins,
		"worker":     startWorker,
		"entry":      startEntry,
		"relay":      startRelay,
		"ready":      awaitReady,
		"until":      until,
		"capture":    capture,
		"sigkill":    kill,
		"term":       terminate,
		"freeze":     freeze,
		"thaw":       thaw,
		"await-exit": awaitExit,
		"cut":        relayAction,
		"silence":    relayAction,
		"blackhole":  relayAction,
		"heal":       relayAction,
		"log-outage": logOutage,
		"log-slow":   logSlow,
		"log-lose":   logLose,
		"list-state": listState,
		"worker-do":  workerDo,
		"mark":       mark,
		"wait-event": waitEvent,
		"check":      checkTimeline,
	} {
		cmds[name] = adapt(name, do)
	}
	return cmds
}

// adapt makes a command fail the script on an error, or on none if the script
// negates it. The command's name is its first argument.
func adapt(name string, do command) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		r := ts.Value(runKey{}).(*run)
		err := do(r, ts, append([]string{name}, args...))
		if neg && err == nil {
			ts.Fatalf("%s succeeded unexpectedly", name)
		}
		if !neg && err != nil {
			ts.Fatalf("%s: %v", name, err)
		}
	}
}
