package scenario

import (
	"context"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"dotterelhitch/internal/checker"
	"dotterelhitch/internal/event"
	"dotterelhitch/internal/platformhttp"
	"dotterelhitch/internal/standin/listsvc"
	"dotterelhitch/internal/standin/logsvc"
	"dotterelhitch/internal/structs"
)

// adminTimeout bounds an admin call.
const adminTimeout = 10 * time.Second

// each applies do to the processes that the arguments name and records the fault
// after it has taken effect.
func (r *run) each(args []string, state string, do func(*process) error) error {
	if len(args) < 2 {
		return usage(args[0] + " NAME...")
	}
	for _, name := range args[1:] {
		p, err := r.find(name)
		if err != nil {
			return err
		}
		if err := do(p); err != nil {
			return err
		}
		r.recorder.Record(event.Event{Type: event.FaultInjected, Worker: p.worker, Member: p.member, State: state, Detail: args[0] + " " + name})
	}
	return nil
}

// kill: kill NAME... It ends processes at once.
func kill(r *run, _ *testscript.TestScript, args []string) error {
	return r.each(args, checker.FaultKilled, func(p *process) error {
		p.kill()
		return nil
	})
}

// freeze: freeze NAME... It halts processes, as a long pause does.
func freeze(r *run, _ *testscript.TestScript, args []string) error {
	return r.each(args, checker.FaultFrozen, func(p *process) error { return p.signal(syscall.SIGSTOP) })
}

// thaw: thaw NAME... It lets frozen processes go on.
func thaw(r *run, _ *testscript.TestScript, args []string) error {
	return r.each(args, checker.FaultThawed, func(p *process) error { return p.signal(syscall.SIGCONT) })
}

// terminate: term NAME... It asks processes for a graceful shutdown.
func terminate(r *run, _ *testscript.TestScript, args []string) error {
	return r.each(args, "", func(p *process) error { return p.signal(syscall.SIGTERM) })
}

// awaitExit: await-exit BOUND NAME... It waits until processes have ended.
func awaitExit(r *run, _ *testscript.TestScript, args []string) error {
	if len(args) < 3 {
		return usage("await-exit BOUND NAME...")
	}
	bound, err := time.ParseDuration(args[1])
	if err != nil {
		return usage("await-exit BOUND NAME...")
	}
	timeout := time.After(bound)
	for _, name := range args[2:] {
		p, err := r.find(name)
		if err != nil {
			return err
		}
		select {
		case <-p.done:
		case <-timeout:
			return structs.NewError(structs.CodeDeadline, "%s has not ended in %v", name, bound)
		}
	}
	return nil
}

// post makes an admin call.
func post(addr, path string, in any) error {
	client := platformhttp.New(platformhttp.Config{BaseURL: "http://" + addr})
	return client.Call(context.Background(), adminTimeout, http.MethodPost, path, in, nil)
}

// relayAction: cut, silence, blackhole or heal RELAY...
func relayAction(r *run, _ *testscript.TestScript, args []string) error {
	return r.each(args, "", func(p *process) error {
		return post(p.addrs["admin"], "/admin/"+args[0], nil)
	})
}

func (r *run) changeLog(c logsvc.FaultChange) error {
	if r.standins == nil {
		return usage("standins first")
	}
	return post(r.standins.addrs["log"], "/admin/faults", c)
}

// logOutage: log-outage none|refuse|hang
func logOutage(r *run, _ *testscript.TestScript, args []string) error {
	if len(args) != 2 {
		return usage("log-outage none|refuse|hang")
	}
	outage := logsvc.Outage(args[1])
	return r.changeLog(logsvc.FaultChange{Outage: &outage})
}

// logSlow: log-slow DELAY
func logSlow(r *run, _ *testscript.TestScript, args []string) error {
	if len(args) != 2 {
		return usage("log-slow DELAY")
	}
	delay, err := time.ParseDuration(args[1])
	if err != nil {
		return usage("log-slow DELAY")
	}
	ms := delay.Milliseconds()
	return r.changeLog(logsvc.FaultChange{DelayMs: &ms})
}

// logLose: log-lose COUNT [STREAM]. The answers of the next appends are lost after
// they took effect.
func logLose(r *run, _ *testscript.TestScript, args []string) error {
	if len(args) < 2 || len(args) > 3 {
		return usage("log-lose COUNT [STREAM]")
	}
	count, err := strconv.Atoi(args[1])
	if err != nil {
		return usage("log-lose COUNT [STREAM]")
	}
	lost := logsvc.LostAnswers{Count: count}
	if len(args) == 3 {
		lost.Stream = args[2]
	}
	return r.changeLog(logsvc.FaultChange{LostAnswers: &lost})
}

// listState: list-state INSTANCE live|leaving|gone
func listState(r *run, _ *testscript.TestScript, args []string) error {
	if len(args) != 3 || r.standins == nil {
		return usage("list-state INSTANCE live|leaving|gone")
	}
	change := listsvc.StateChange{ID: args[1], State: structs.WorkerState(args[2])}
	return post(r.standins.addrs["list"], "/admin/state", change)
}

// rawJSON is an admin body that a script wrote.
type rawJSON string

// MarshalJSON implements json.Marshaler.
func (j rawJSON) MarshalJSON() ([]byte, error) { return []byte(j), nil }

// workerDo: worker-do WORKER faults|pause|drain [JSON]
func workerDo(r *run, _ *testscript.TestScript, args []string) error {
	if len(args) < 3 || len(args) > 4 {
		return usage("worker-do WORKER faults|pause|drain [JSON]")
	}
	addr, err := r.address(args[1])
	if err != nil {
		return err
	}
	body := rawJSON("{}")
	if len(args) == 4 {
		body = rawJSON(args[3])
	}
	return post(addr, "/admin/"+args[2], body)
}
