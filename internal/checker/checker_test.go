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

// timeline spaces events one step apart. An event with a time keeps it, and the
// events after it follow from that time.
func timeline(events ...event.Event) []event.Event {
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

// lapsed is the end of a task whose lease had lapsed earlier by the given time.
func lapsed(worker string, task structs.TaskID, before time.Duration) event.Event {
	e := taskEnd(worker, task, stopped)
	e.Detail = fmt.Sprintf("lease lapsed %dus before", before.Microseconds())
	return e
}

func requestSent(clientID, key string, idempotent bool) event.Event {
	return event.Event{Type: event.CallerRequestSent, Proc: "load", Request: clientID, Key: key, Class: "c", Idempotent: idempotent}
}

func requestIn(requestID, key string, idempotent bool) event.Event {
	return event.Event{Type: event.RequestReceived, Proc: "m-1", Request: requestID, Key: key, Class: "c", Idempotent: idempotent}
}

func requestOut(requestID string) event.Event {
	return event.Event{Type: event.RequestAnswered, Proc: "m-1", Request: requestID}
}

func requestRun(worker, requestID, key string) event.Event {
	return event.Event{Type: event.RequestRun, Worker: worker, Request: requestID, Key: key, Class: "c"}
}

func requestAttempt(worker, requestID string) event.Event {
	return event.Event{Type: event.RequestAttempt, Proc: "m-1", Worker: worker, Request: requestID}
}

func requestEnd(worker, requestID string) event.Event {
	return event.Event{Type: event.RequestEnd, Worker: worker, Request: requestID}
}

func requestGot(clientID, requestID string, o structs.Outcome) event.Event {
	e := event.Event{Type: event.CallerRequestEnded, Proc: "load", Request: clientID, Detail: requestID, Outcome: o}
	if o == structs.OutcomeAnswered {
		e.Digest, e.ExpectedDigest = "d1", "d1"
	}
	return e
}

func onWorker(t event.Type, name string) event.Event {
	return event.Event{Type: t, Worker: name}
}

func fault(worker, state string) event.Event {
	return event.Event{Type: event.FaultInjected, Proc: "test", Worker: worker, State: state}
}

func configInForce(member string, version int64) event.Event {
	return event.Event{Type: event.ConfigInForce, Member: member, Version: version, Detail: "class c"}
}

func classAccepted(version int64) event.Event {
	return event.Event{Type: event.ClassAccepted, Proc: "m-1", Class: "c", Version: version}
}

func job(t event.Type, state structs.JobState) event.Event {
	return event.Event{Type: t, Proc: "load", Job: "g:j", Count: 2, State: string(state)}
}

// testCase is a timeline and the kind of violation that the checker must find in it.
type testCase struct {
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

// violatingRuns are timelines with one violation each.
var violatingRuns = []testCase{
	{"more processors than it has", timeline(boot("w"), taskRun("w", "g:j#0", 3), taskRun("w", "g:j#1", 2)), OverCommit},
	{"a task before any boot", timeline(taskRun("w", "g:j#0", 3)), OverCommit},
	{"two workers", timeline(boot("w"), boot("x"), taskRun("w", "g:j#0", 1), taskRun("x", "g:j#0", 1)), ConcurrentTaskRuns},
	{"twice on one worker", timeline(boot("w"), taskRun("w", "g:j#0", 1), taskRun("w", "g:j#0", 1)), ConcurrentTaskRuns},
	{"woken worker takes work first", timeline(boot("w"), boot("x"), taskRun("w", "g:j#0", 1), fault("w", FaultFrozen),
		taskRun("x", "g:j#0", 1), fault("w", FaultThawed), requestRun("w", "r", ""), lapsed("w", "g:j#0", 5*step)), ConcurrentTaskRuns},
	{"woken worker ends the task", timeline(boot("w"), boot("x"), taskRun("w", "g:j#0", 1), fault("w", FaultFrozen),
		taskRun("x", "g:j#0", 1), fault("w", FaultThawed), taskEnd("w", "g:j#0", complete)), ConcurrentTaskRuns},
	{"before the lease lapsed", timeline(boot("w"), boot("x"), taskRun("w", "g:j#0", 1), taskRun("x", "g:j#0", 1), lapsed("w", "g:j#0", 0)), ConcurrentTaskRuns},
	{"stopped too late", timeline(boot("w"), boot("x"), taskRun("w", "g:j#0", 1), taskRun("x", "g:j#0", 1), taskEnd("w", "g:j#0", stopped)), ConcurrentTaskRuns},
	{"killed too late", timeline(boot("w"), boot("x"), taskRun("w", "g:j#0", 1), taskRun("x", "g:j#0", 1), fault("w", FaultKilled)), ConcurrentTaskRuns},
	{"after it was settled", timeline(boot("w"), event.Event{Type: event.TaskSettled, Task: "g:j#0", State: string(complete)},
		taskRun("w", "g:j#0", 1)), TaskRunAfterEnd},
	{"after its job was cancelled", timeline(boot("w"), job(event.CallerJobEnded, structs.JobCancelled), taskRun("w", "g:j#0", 1)), TaskRunAfterEnd},
	{"another's answer", timeline(requestSent("a", "", true), requestRun("w", "r", ""), requestEnd("w", "r"),
		event.Event{Type: event.CallerRequestEnded, Request: "a", Detail: "r", Outcome: answered, Digest: "d2", ExpectedDigest: "d1"}), WrongAnswer},
	{"an answer from nowhere", timeline(requestSent("a", "", true), requestRun("w", "r", ""), requestEnd("w", "r"), requestGot("a", "s", answered)), AnswerWithoutRun},
	{"ran after not run", timeline(requestSent("a", "", true), requestGot("a", "r", notRun), requestRun("w", "r", "")), RunAfterNotRun},
	{"ran before not run", timeline(requestSent("a", "", true), requestRun("w", "r", ""), requestGot("a", "r", notRun)), RunAfterNotRun},
	{"second run of a request", timeline(requestIn("r", "", false), requestRun("w", "r", ""), requestRun("x", "r", ""), requestOut("r")), SecondRun},
	{"second run of a key", timeline(requestIn("r", "k", false), requestRun("w", "r", "k"), requestIn("s", "k", true), requestRun("x", "s", "k")), SecondRun},
	{"second run of an unknown key", timeline(requestRun("w", "r", "k"), requestRun("w", "s", "k")), SecondRun},
	{"task on a leaving worker", timeline(boot("w"), onWorker(event.LeavingAccepted, "w"), at(6*time.Second, taskRun("w", "g:j#0", 1))), WorkOnLeaving},
	{"sent to a leaving worker past the bound", timeline(onWorker(event.LeavingAccepted, "w"), fault("w", FaultFrozen),
		at(6*time.Second, requestAttempt("w", "r")), fault("w", FaultThawed), requestRun("w", "r", "")), WorkOnLeaving},
	{"frozen past the bound", timeline(onWorker(event.LeavingAccepted, "w"), requestAttempt("w", "r"),
		at(6*time.Second, fault("w", FaultFrozen)), fault("w", FaultThawed), requestRun("w", "r", "")), WorkOnLeaving},
	{"woken within the bound", timeline(onWorker(event.LeavingAccepted, "w"), requestAttempt("w", "r"), fault("w", FaultFrozen),
		fault("w", FaultThawed), at(6*time.Second, requestRun("w", "r", ""))), WorkOnLeaving},
	{"request on a leaving worker", timeline(onWorker(event.LeavingAccepted, "w"), at(6*time.Second, requestRun("w", "r", ""))), WorkOnLeaving},
	{"cut in a worker's drain", timeline(requestRun("w", "r", ""), onWorker(event.WorkerDrain, "w"), onWorker(event.RequestAborted, "w"),
		event.Event{Type: event.RequestAborted, Worker: "w", Request: "r"}, onWorker(event.WorkerExit, "w")), RequestCutOff},
	{"unended at a worker's exit", timeline(requestRun("w", "r", ""), onWorker(event.WorkerDrain, "w"), onWorker(event.WorkerExit, "w")), RequestCutOff},
	{"unended at an entry's exit", timeline(requestIn("r", "", true), requestRun("w", "r", ""), event.Event{Type: event.EntryDrain, Proc: "m-1"},
		event.Event{Type: event.EntryExit, Proc: "m-1"}), RequestCutOff},
	{"older configuration", timeline(configInForce("m-1", 9), configInForce("m-1", 8)), ConfigReverted},
	{"declaration undone", timeline(event.Event{Type: event.LeavingInForce, Member: "m", Worker: "w", Version: 9},
		event.Event{Type: event.LeavingInForce, Member: "m", Worker: "w", Version: 8}), ConfigReverted},
	{"configuration past its bound", timeline(configInForce("m-1", 8), configInForce("m-2", 8), classAccepted(9), configInForce("m-1", 9),
		at(6*time.Second, configInForce("m-2", 9))), ConfigLate},
	{"a job that vanished", timeline(boot("w"), job(event.CallerJobAccepted, ""), taskRun("w", "g:j#0", 1)), JobLost},
	{"a job whose worker was killed", timeline(boot("w"), job(event.CallerJobAccepted, ""), taskRun("w", "g:j#0", 1), taskRun("w", "g:j#1", 1),
		fault("w", FaultKilled)), JobLost},
	{"complete without its tasks", timeline(boot("w"), job(event.CallerJobAccepted, ""), taskRun("w", "g:j#0", 1), taskEnd("w", "g:j#0", complete),
		job(event.CallerJobEnded, structs.JobComplete)), TaskLost},
	{"a request without an outcome", timeline(requestSent("a", "", true), requestRun("w", "r", "")), RequestLost},
}

func TestCheckFindsViolations(t *testing.T) {
	for _, c := range violatingRuns {
		report := Check(c.events, options)
		if report.OK() || report.Count(c.want) == 0 {
			t.Errorf("%s: found %+v, want %s", c.name, report.Violations, c.want)
		}
	}
}

// validRuns are timelines without a violation, each a variant of one with a violation.
var validRuns = []testCase{
	{name: "full and freed", events: timeline(boot("w"), taskRun("w", "g:j#0", 4), taskEnd("w", "g:j#0", stopped), taskRun("w", "g:j#1", 4))},
	{name: "restarted worker is empty", events: timeline(boot("w"), taskRun("w", "g:j#0", 4), boot("w"), taskRun("w", "g:j#0", 4))},
	{name: "moved after a stop", events: timeline(boot("w"), boot("x"), taskRun("w", "g:j#0", 1), taskEnd("w", "g:j#0", stopped), taskRun("x", "g:j#0", 1))},
	{name: "moved after a kill", events: timeline(boot("w"), boot("x"), taskRun("w", "g:j#0", 1), fault("w", FaultKilled), taskRun("x", "g:j#0", 1))},
	{name: "woken worker stops first", events: timeline(boot("w"), boot("x"), taskRun("w", "g:j#0", 1), fault("w", FaultFrozen),
		taskRun("x", "g:j#0", 1), fault("w", FaultThawed), lapsed("w", "g:j#0", 3*step), requestRun("w", "r", ""))},
	{name: "frozen to the end", events: timeline(boot("w"), boot("x"), taskRun("w", "g:j#0", 1), fault("w", FaultFrozen), taskRun("x", "g:j#0", 1))},
	{name: "freeze within the lease", events: timeline(boot("w"), taskRun("w", "g:j#0", 1), fault("w", FaultFrozen),
		fault("w", FaultThawed), requestRun("w", "r", ""), taskEnd("w", "g:j#0", complete))},
	{name: "right answer", events: timeline(requestSent("a", "", false), requestIn("r", "", false), requestRun("w", "r", ""), requestEnd("w", "r"), requestOut("r"), requestGot("a", "r", answered))},
	{name: "another request was not run", events: timeline(requestSent("a", "", true), requestGot("a", "r", notRun), requestRun("w", "s", ""))},
	{name: "idempotent retry", events: timeline(requestIn("r", "", true), requestRun("w", "r", ""), requestRun("x", "r", ""), requestOut("r"))},
	{name: "answer of a repeated key", events: timeline(requestSent("a", "k", false), requestRun("w", "r", "k"), requestGot("a", "r", answered),
		requestSent("b", "k", false), requestGot("b", "s", answered))},
	{name: "work within the bound", events: timeline(boot("w"), onWorker(event.LeavingAccepted, "w"), at(4*time.Second, taskRun("w", "g:j#0", 1)))},
	{name: "sent before the declaration to a frozen worker", events: timeline(fault("w", FaultFrozen), requestAttempt("w", "r"),
		onWorker(event.LeavingAccepted, "w"), at(6*time.Second, fault("w", FaultThawed)), requestRun("w", "r", ""))},
	{name: "declaration taken back", events: timeline(boot("w"), onWorker(event.LeavingAccepted, "w"),
		event.Event{Type: event.LeavingAccepted, Worker: "w", State: operator.StateRemoved}, at(9*time.Second, taskRun("w", "g:j#0", 1)))},
	{name: "request ended in the drain", events: timeline(requestRun("w", "r", ""), onWorker(event.WorkerDrain, "w"), requestEnd("w", "r"), onWorker(event.WorkerExit, "w"))},
	{name: "given up by its peer in the drain", events: timeline(requestRun("w", "r", ""), onWorker(event.WorkerDrain, "w"),
		event.Event{Type: event.RequestAborted, Worker: "w", Request: "r", Detail: "peer"}, onWorker(event.WorkerExit, "w"))},
	{name: "cut by a kill", events: timeline(requestRun("w", "r", ""), onWorker(event.WorkerDrain, "w"), fault("w", FaultKilled))},
	{name: "configuration in time", events: timeline(configInForce("m-1", 8), classAccepted(9), configInForce("m-1", 9), at(9*time.Second, requestRun("w", "r", "")))},
	{name: "member died before the bound", events: timeline(configInForce("m-1", 8), classAccepted(9), at(9*time.Second, requestRun("w", "r", "")))},
	{name: "job complete", events: timeline(boot("w"), job(event.CallerJobAccepted, ""), taskRun("w", "g:j#0", 1), taskRun("w", "g:j#1", 1),
		taskEnd("w", "g:j#0", complete), taskEnd("w", "g:j#1", complete), job(event.CallerJobEnded, structs.JobComplete))},
	{name: "service still runs", events: timeline(boot("w"), job(event.CallerJobAccepted, ""), taskRun("w", "g:j#0", 1), taskRun("w", "g:j#1", 1))},
}

func TestCheckAcceptsValidRuns(t *testing.T) {
	for _, c := range validRuns {
		if report := Check(c.events, options); !report.OK() {
			t.Errorf("%s: found %+v", c.name, report.Violations)
		}
	}
}

func TestCheckRejectsEmptyRun(t *testing.T) {
	if report := Check(nil, options); report.OK() || !report.Empty() {
		t.Errorf("report %+v, want it empty and not OK", report)
	}
	withoutWorkers := timeline(requestSent("a", "", true), requestIn("r", "", true), requestOut("r"), requestGot("a", "r", answered))
	if report := Check(withoutWorkers, options); report.OK() {
		t.Error("a run without the workers' record must not pass")
	}
}
