package timeline

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"dotterelhitch/internal/event"
	"dotterelhitch/internal/structs"
)

func at(us int64, n uint32, proc string, seq uint64) event.Event {
	return event.Event{Time: event.Time{Micros: us, Counter: n}, Proc: proc, Seq: seq, Type: event.FaultInjected}
}

func TestMergeOrdersByTheClockThenTheProcess(t *testing.T) {
	a := &Log{Events: []event.Event{at(5, 0, "a", 1), at(5, 2, "a", 2), at(9, 0, "a", 3)}}
	b := &Log{Events: []event.Event{at(5, 1, "b", 1), at(9, 0, "b", 2)}}
	var got []string
	for _, e := range Merge(b, a) {
		got = append(got, e.Proc+e.Time.String())
	}
	if want := "a5.0 b5.1 a5.2 a9.0 b9.0"; strings.Join(got, " ") != want {
		t.Errorf("order %v, want %s", got, want)
	}
}

func TestRecordedEventsComeBack(t *testing.T) {
	file := filepath.Join(t.TempDir(), "w-1.jsonl")
	var out bytes.Buffer
	r := event.NewRecorder("w-1", &event.Clock{}, &out)
	r.Record(event.Event{Type: event.WorkerBoot, Worker: "w-1", Size: &structs.Resources{CPUMilli: 16000}})
	r.Record(event.Event{Type: event.TaskRun, Worker: "w-1", Task: "g:j#1", Attempt: 1})
	out.WriteString(`{"t":{"us":17`)
	if err := os.WriteFile(file, out.Bytes(), 0o600); err != nil {
		t.Fatal(err)
	}
	events, logs, err := ReadFiles([]string{file})
	if err != nil || len(events) != 2 || !logs[0].Truncated {
		t.Fatalf("%d events, %+v, %v; want 2 and a truncated line", len(events), logs, err)
	}
	if text := Text(events[1]); !strings.HasSuffix(text, "w-1 task_run task=g:j#1 attempt=1 worker=w-1") {
		t.Errorf("text %q", text)
	}
	var again bytes.Buffer
	if err := WriteJSON(&again, events); err != nil {
		t.Fatal(err)
	}
	if log, err := Read("again", &again); err != nil || len(log.Events) != 2 || Text(log.Events[1]) != Text(events[1]) {
		t.Errorf("read back %+v, %v", log, err)
	}
}

func TestGarbageIsATypedErrorWithItsLine(t *testing.T) {
	good := `{"t":{"us":1},"seq":1,"proc":"a","type":"fault"}`
	for name, bad := range map[string]string{
		"no JSON": "x", "no type": `{"proc":"a"}`, "two values": good + good, "negative time": strings.Replace(good, ":1}", ":-1}", 1),
	} {
		_, err := Read("log", strings.NewReader(good+"\n"+bad+"\n"+good+"\n"))
		var line *LineError
		if !errors.As(err, &line) || line.Line != 2 || structs.CodeOf(err) != structs.CodeInvalid {
			t.Errorf("%s: error %v, want a LineError at line 2", name, err)
		}
	}
	if _, err := Read("log", strings.NewReader(strings.Repeat("x", maxLineBytes+1))); structs.CodeOf(err) != structs.CodeTooLarge {
		t.Errorf("endless line: error %v, want too_large", err)
	}
	if _, err := ReadFile(filepath.Join(t.TempDir(), "none")); structs.CodeOf(err) != structs.CodeNotFound {
		t.Errorf("no file: error %v, want not_found", err)
	}
}

// TestTextShowsWhatDecided renders a decision with the choices weighed and the age of its
// inputs.
func TestTextShowsWhatDecided(t *testing.T) {
	e := event.Event{Type: event.AdviceReceived, Task: "0a1b.0.0", Count: 6, Candidates: 16, AgeMs: 118}
	if text := Text(e); !strings.HasSuffix(text, "advice_got task=0a1b.0.0 count=6 candidates=16 age_ms=118") {
		t.Errorf("%q", text)
	}
}

func TestFilter(t *testing.T) {
	e := event.Event{
		Time: event.Time{Micros: 1_000_000}, Proc: "p", Type: event.TaskRun,
		Task: "g:j#1", Worker: "w-1", Member: "m-1",
	}
	got := event.Event{Type: event.CallerRequestEnded, Request: "mine", Detail: "theirs"}
	for name, c := range map[string]struct {
		filter Filter
		event  event.Event
		want   bool
	}{
		"empty":            {Filter{}, e, true},
		"task":             {Filter{Task: "g:j#1", Worker: "w-1"}, e, true},
		"other worker":     {Filter{Task: "g:j#1", Worker: "w-2"}, e, false},
		"job of a task":    {Filter{Job: "g:j"}, e, true},
		"request of a job": {Filter{Request: "g:j"}, e, true},
		"task of a step":   {Filter{Request: "0a1b"}, event.Event{Task: "0a1b.0.1.17"}, true},
		"other job's task": {Filter{Request: "0a1b"}, event.Event{Task: "0a1bc.0.1.17"}, false},
		"prefix of a job":  {Filter{Job: "g"}, e, false},
		"type":             {Filter{Types: []event.Type{event.TaskEnd, event.TaskRun}}, e, true},
		"other type":       {Filter{Types: []event.Type{event.TaskEnd}}, e, false},
		"from":             {Filter{From: time.Unix(1, 0)}, e, true},
		"to is excluded":   {Filter{To: time.Unix(1, 0)}, e, false},
		"caller's ID":      {Filter{Request: "mine"}, got, true},
		"system's ID":      {Filter{Request: "theirs"}, got, true},
		"other ID":         {Filter{Request: "other"}, got, false},
	} {
		if c.filter.Match(c.event) != c.want {
			t.Errorf("%s: want match %v", name, c.want)
		}
	}
	if n := len(Filter{Proc: "p"}.Select([]event.Event{e, got})); n != 1 {
		t.Errorf("selected %d events, want 1", n)
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"t":{"us":1,"n":2},"seq":1,"proc":"a","type":"task_run","size":{"cpu_milli":1}}`))
	f.Add([]byte(`{"t":`))
	f.Fuzz(func(t *testing.T, line []byte) {
		e, err := Decode(line)
		if err != nil && structs.CodeOf(err) != structs.CodeInvalid {
			t.Errorf("error %v, want code invalid", err)
		}
		if err == nil && (e.Type == "" || Text(e) == "") {
			t.Errorf("event %+v without a type", e)
		}
	})
}
