package checker

import (
	"fmt"
	"testing"
	"time"

	"dotterelhitch/internal/event"
	"dotterelhitch/internal/operator"
	"dotterelhitch/internal/structs"
)

const (
	step  = 10 * time.Millisecond
	bound = 5 * time.Second
)

var options = Options{LeavingBound: bound, ConfigBound: bound, RunEnded: true}

// line gives events the times of a run in which one happens each step. An event
// that has a time already keeps it, and the next ones follow it.
func line(events ...event.Event) []event.Event {
	var now int64
	out := make([]event.Event, len(events))
	for i, e := range events {
		now += step.Microseconds()
		now = max(now, e.Time.Micros)
		e.Time.Micros = now
		if e.Proc == "" {
			e.Proc = e.Worker + e.Member
		}
		out[i] = e
	}
	return out
}

func at(d time.Duration, e event.Event) event.Event {
	e.Time.Micros = d.Microseconds()
	return e
}

func cores(n int64) *structs.Resources { return &structs.Resources{CPUMilli: n * 1000, MemoryMiB: n} }

func boot(worker string) event.Event {
	return event.Event{Type: event.WorkerBoot, Worker: worker, Size: cores(4)}
}

func taskRun(worker string, task structs.TaskID, n int64) event.Event {
	return event.Event{Type: event.TaskRun, Worker: worker, Task: task, Attempt: 1, Size: cores(n)}
}

func taskEnd(worker string, task structs.TaskID, state structs.AllocState) event.Event {
	return event.Event{Type: event.TaskEnd, Worker: worker, Task: task, Attempt: 1, State: string(state)}
}

// lapsed is the end of a task whose lease had lapsed some time before.
func lapsed(worker string, task structs.TaskID, before time.Duration) event.Event {
	e := taskEnd(worker, task, stopped)
	e.Detail = fmt.Sprintf("lease lapsed %dus before", before.Microseconds())
	return e
}

func sent(request, key string, idempotent bool) event.Event {
	return event.Event{Type: event.CallerRequestSent, Proc: "load", Request: request, Key: key, Class: "c", Idempotent: idempotent}
}

func in(system, key string, idempotent bool) event.Event {
	return event.Event{Type: event.RequestReceived, Proc: "m-1", Request: system, Key: key, Class: "c", Idempotent: idempotent}
}

func out(system string) event.Event {
	return event.Event{Type: event.RequestAnswered, Proc: "m-1", Request: system}
}

func ran(worker, system, key string) event.Event {
	return event.Event{Type: event.RequestRun, Worker: worker, Request: system, Key: key, Class: "c"}
}

func attempt(worker, system string) event.Event {
	return event.Event{Type: event.RequestAttempt, Proc: "m-1", Worker: worker, Request: system}
}

func done(worker, system string) event.Event {
	return event.Event{Type: event.RequestEnd, Worker: worker, Request: system}
}

func got(request, system string, o structs.Outcome) event.Event {
	e := event.Event{Type: event.CallerRequestEnded, Proc: "load", Request: request, Detail: system, Outcome: o}
	if o == structs.OutcomeAnswered {
		e.Digest, e.ExpectedDigest = "d1", "d1"
	}
	return e
}

func on(t event.Type, name string) event.Event {
	return event.Event{Type: t, Worker: name}
}

func fault(worker, state string) event.Event {
	return event.Event{Type: event.FaultInjected, Proc: "test", Worker: worker, State: state}
}

func config(member string, version int64) event.Event {
	return event.Event{Type: event.ConfigInForce, Member: member, Version: version, Detail: "class c"}
}

func accepted(version int64) event.Event {
	return event.Event{Type: event.ClassAccepted, Proc: "m-1", Class: "c", Version: version}
}

func job(t event.Type, state structs.JobState) event.Event {
	return event.Event{Type: t, Proc: "load", Job: "g:j", Count: 2, State: string(state)}
}

// check is a made time line and what must be found in it.
type check struct {
	name   string
	events []event.Event
	want   Kind
}

var (
	answered = structs.OutcomeAnswered
	notRun   = structs.OutcomeNotRun
	complete = structs.AllocComplete
	stopped  = structs.AllocStopped
)

// bad are time lines that must be refused, each for one reason.
var bad = []check{
	{"more processors than it has", line(boot("w"), taskRun("w", "g:j#0", 3), taskRun("w", "g:j#1", 2)), OverCommit},
	{"a task before any boot", line(taskRun("w", "g:j#0", 3)), OverCommit},
	{"two workers", line(boot("w"), boot("x"), taskRun("w", "g:j#0", 1), taskRun("x", "g:j#0", 1)), ConcurrentTaskRuns},
	{"twice on one worker", line(boot("w"), taskRun("w", "g:j#0", 1), taskRun("w", "g:j#0", 1)), ConcurrentTaskRuns},
	{"woken worker takes work first", line(boot("w"), boot("x"), taskRun("w", "g:j#0", 1), fault("w", FaultFrozen),
		taskRun("x", "g:j#0", 1), fault("w", FaultThawed), ran("w", "r", ""), lapsed("w", "g:j#0", 5*step)), ConcurrentTaskRuns},
	{"woken worker ends the task", line(boot("w"), boot("x"), taskRun("w", "g:j#0", 1), fault("w", FaultFrozen),
		taskRun("x", "g:j#0", 1), fault("w", FaultThawed), taskEnd("w", "g:j#0", complete)), ConcurrentTaskRuns},
	{"before the lease lapsed", line(boot("w"), boot("x"), taskRun("w", "g:j#0", 1), taskRun("x", "g:j#0", 1), lapsed("w", "g:j#0", 0)), ConcurrentTaskRuns},
	{"stopped too late", line(boot("w"), boot("x"), taskRun("w", "g:j#0", 1), taskRun("x", "g:j#0", 1), taskEnd("w", "g:j#0", stopped)), ConcurrentTaskRuns},
	{"killed too late", line(boot("w"), boot("x"), taskRun("w", "g:j#0", 1), taskRun("x", "g:j#0", 1), fault("w", FaultKilled)), ConcurrentTaskRuns},
	{"after it was settled", line(boot("w"), event.Event{Type: event.TaskSettled, Task: "g:j#0", State: string(complete)},
		taskRun("w", "g:j#0", 1)), TaskRunAfterEnd},
	{"after its job was cancelled", line(boot("w"), job(event.CallerJobEnded, structs.JobCancelled), taskRun("w", "g:j#0", 1)), TaskRunAfterEnd},
	{"another's answer", line(sent("a", "", true), ran("w", "r", ""), done("w", "r"),
		event.Event{Type: event.CallerRequestEnded, Request: "a", Detail: "r", Outcome: answered, Digest: "d2", ExpectedDigest: "d1"}), WrongAnswer},
	{"an answer from nowhere", line(sent("a", "", true), ran("w", "r", ""), done("w", "r"), got("a", "s", answered)), AnswerWithoutRun},
	{"ran after not run", line(sent("a", "", true), got("a", "r", notRun), ran("w", "r", "")), RunAfterNotRun},
	{"ran before not run", line(sent("a", "", true), ran("w", "r", ""), got("a", "r", notRun)), RunAfterNotRun},
	{"second run of a request", line(in("r", "", false), ran("w", "r", ""), ran("x", "r", ""), out("r")), SecondRun},
	{"second run of a key", line(in("r", "k", false), ran("w", "r", "k"), in("s", "k", true), ran("x", "s", "k")), SecondRun},
	{"second run of an unknown key", line(ran("w", "r", "k"), ran("w", "s", "k")), SecondRun},
	{"task on a leaving worker", line(boot("w"), on(event.LeavingAccepted, "w"), at(6*time.Second, taskRun("w", "g:j#0", 1))), WorkOnLeaving},
	{"sent to a leaving worker past the bound", line(on(event.LeavingAccepted, "w"), fault("w", FaultFrozen),
		at(6*time.Second, attempt("w", "r")), fault("w", FaultThawed), ran("w", "r", "")), WorkOnLeaving},
	{"frozen past the bound", line(on(event.LeavingAccepted, "w"), attempt("w", "r"),
		at(6*time.Second, fault("w", FaultFrozen)), fault("w", FaultThawed), ran("w", "r", "")), WorkOnLeaving},
	{"woken within the bound", line(on(event.LeavingAccepted, "w"), attempt("w", "r"), fault("w", FaultFrozen),
		fault("w", FaultThawed), at(6*time.Second, ran("w", "r", ""))), WorkOnLeaving},
	{"request on a leaving worker", line(on(event.LeavingAccepted, "w"), at(6*time.Second, ran("w", "r", ""))), WorkOnLeaving},
	{"cut in a worker's drain", line(ran("w", "r", ""), on(event.WorkerDrain, "w"), on(event.RequestAborted, "w"),
		event.Event{Type: event.RequestAborted, Worker: "w", Request: "r"}, on(event.WorkerExit, "w")), RequestCutOff},
	{"unended at a worker's exit", line(ran("w", "r", ""), on(event.WorkerDrain, "w"), on(event.WorkerExit, "w")), RequestCutOff},
	{"unended at an entry's exit", line(in("r", "", true), ran("w", "r", ""), event.Event{Type: event.EntryDrain, Proc: "m-1"},
		event.Event{Type: event.EntryExit, Proc: "m-1"}), RequestCutOff},
	{"older configuration", line(config("m-1", 9), config("m-1", 8)), ConfigReverted},
	{"declaration undone", line(event.Event{Type: event.LeavingInForce, Member: "m", Worker: "w", Version: 9},
		event.Event{Type: event.LeavingInForce, Member: "m", Worker: "w", Version: 8}), ConfigReverted},
	{"configuration past its bound", line(config("m-1", 8), config("m-2", 8), accepted(9), config("m-1", 9),
		at(6*time.Second, config("m-2", 9))), ConfigLate},
	{"a job that vanished", line(boot("w"), job(event.CallerJobAccepted, ""), taskRun("w", "g:j#0", 1)), JobLost},
	{"a job whose worker was killed", line(boot("w"), job(event.CallerJobAccepted, ""), taskRun("w", "g:j#0", 1), taskRun("w", "g:j#1", 1),
		fault("w", FaultKilled)), JobLost},
	{"complete without its tasks", line(boot("w"), job(event.CallerJobAccepted, ""), taskRun("w", "g:j#0", 1), taskEnd("w", "g:j#0", complete),
		job(event.CallerJobEnded, structs.JobComplete)), TaskLost},
	{"a request without an outcome", line(sent("a", "", true), ran("w", "r", "")), RequestLost},
}

func TestBrokenRunsAreRefused(t *testing.T) {
	for _, c := range bad {
		report := Check(c.events, options)
		if report.OK() || report.Count(c.want) == 0 {
			t.Errorf("%s: found %+v, want %s", c.name, report.Violations, c.want)
		}
	}
}

// good are time lines that must pass, each near to a broken one.
var good = []check{
	{name: "full and freed", events: line(boot("w"), taskRun("w", "g:j#0", 4), taskEnd("w", "g:j#0", stopped), taskRun("w", "g:j#1", 4))},
	{name: "restarted worker is empty", events: line(boot("w"), taskRun("w", "g:j#0", 4), boot("w"), taskRun("w", "g:j#0", 4))},
	{name: "moved after a stop", events: line(boot("w"), boot("x"), taskRun("w", "g:j#0", 1), taskEnd("w", "g:j#0", stopped), taskRun("x", "g:j#0", 1))},
	{name: "moved after a kill", events: line(boot("w"), boot("x"), taskRun("w", "g:j#0", 1), fault("w", FaultKilled), taskRun("x", "g:j#0", 1))},
	{name: "woken worker stops first", events: line(boot("w"), boot("x"), taskRun("w", "g:j#0", 1), fault("w", FaultFrozen),
		taskRun("x", "g:j#0", 1), fault("w", FaultThawed), lapsed("w", "g:j#0", 3*step), ran("w", "r", ""))},
	{name: "frozen to the end", events: line(boot("w"), boot("x"), taskRun("w", "g:j#0", 1), fault("w", FaultFrozen), taskRun("x", "g:j#0", 1))},
	{name: "freeze within the lease", events: line(boot("w"), taskRun("w", "g:j#0", 1), fault("w", FaultFrozen),
		fault("w", FaultThawed), ran("w", "r", ""), taskEnd("w", "g:j#0", complete))},
	{name: "right answer", events: line(sent("a", "", false), in("r", "", false), ran("w", "r", ""), done("w", "r"), out("r"), got("a", "r", answered))},
	{name: "another request was not run", events: line(sent("a", "", true), got("a", "r", notRun), ran("w", "s", ""))},
	{name: "idempotent retry", events: line(in("r", "", true), ran("w", "r", ""), ran("x", "r", ""), out("r"))},
	{name: "answer of a repeated key", events: line(sent("a", "k", false), ran("w", "r", "k"), got("a", "r", answered),
		sent("b", "k", false), got("b", "s", answered))},
	{name: "work within the bound", events: line(boot("w"), on(event.LeavingAccepted, "w"), at(4*time.Second, taskRun("w", "g:j#0", 1)))},
	{name: "sent before the declaration to a frozen worker", events: line(fault("w", FaultFrozen), attempt("w", "r"),
		on(event.LeavingAccepted, "w"), at(6*time.Second, fault("w", FaultThawed)), ran("w", "r", ""))},
	{name: "declaration taken back", events: line(boot("w"), on(event.LeavingAccepted, "w"),
		event.Event{Type: event.LeavingAccepted, Worker: "w", State: operator.StateRemoved}, at(9*time.Second, taskRun("w", "g:j#0", 1)))},
	{name: "request ended in the drain", events: line(ran("w", "r", ""), on(event.WorkerDrain, "w"), done("w", "r"), on(event.WorkerExit, "w"))},
	{name: "given up by its peer in the drain", events: line(ran("w", "r", ""), on(event.WorkerDrain, "w"),
		event.Event{Type: event.RequestAborted, Worker: "w", Request: "r", Detail: "peer"}, on(event.WorkerExit, "w"))},
	{name: "cut by a kill", events: line(ran("w", "r", ""), on(event.WorkerDrain, "w"), fault("w", FaultKilled))},
	{name: "configuration in time", events: line(config("m-1", 8), accepted(9), config("m-1", 9), at(9*time.Second, ran("w", "r", "")))},
	{name: "member died before the bound", events: line(config("m-1", 8), accepted(9), at(9*time.Second, ran("w", "r", "")))},
	{name: "job complete", events: line(boot("w"), job(event.CallerJobAccepted, ""), taskRun("w", "g:j#0", 1), taskRun("w", "g:j#1", 1),
		taskEnd("w", "g:j#0", complete), taskEnd("w", "g:j#1", complete), job(event.CallerJobEnded, structs.JobComplete))},
	{name: "service still runs", events: line(boot("w"), job(event.CallerJobAccepted, ""), taskRun("w", "g:j#0", 1), taskRun("w", "g:j#1", 1))},
}

func TestGoodRunsPass(t *testing.T) {
	for _, c := range good {
		if report := Check(c.events, options); !report.OK() {
			t.Errorf("%s: found %+v", c.name, report.Violations)
		}
	}
}

func TestAnEmptyRunIsNotGood(t *testing.T) {
	if report := Check(nil, options); report.OK() || !report.Empty() {
		t.Errorf("report %+v, want it empty and not OK", report)
	}
	onlySystem := line(sent("a", "", true), in("r", "", true), out("r"), got("a", "r", answered))
	if report := Check(onlySystem, options); report.OK() {
		t.Error("a run without the workers' record must not pass")
	}
}
