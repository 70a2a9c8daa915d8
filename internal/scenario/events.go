package scenario

import (
	"bytes"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/rogpeppe/go-internal/testscript"

	"dotterelhitch/internal/event"
	"dotterelhitch/internal/structs"
	"dotterelhitch/internal/timeline"
)

// tail reads the event logs of a directory as they grow.
type tail struct {
	dir     string
	offsets map[string]int64
	events  []event.Event
	// after excludes the events up to a mark.
	after event.Time
}

func newTail(dir string) *tail {
	return &tail{dir: dir, offsets: make(map[string]int64)}
}

// files returns the event logs there are.
func (t *tail) files() ([]string, error) {
	files, err := filepath.Glob(filepath.Join(t.dir, "*.jsonl"))
	return files, errors.Trace(err)
}

// grow reads the whole lines that came since the last call.
func (t *tail) grow() error {
	files, err := t.files()
	if err != nil {
		return err
	}
	for _, file := range files {
		if err := t.growFile(file); err != nil {
			return errors.Annotate(err, file)
		}
	}
	return nil
}

func (t *tail) growFile(file string) error {
	b, err := os.ReadFile(file)
	if err != nil {
		return errors.Trace(err)
	}
	fresh := b[t.offsets[file]:]
	whole := fresh[:bytes.LastIndexByte(fresh, '\n')+1]
	t.offsets[file] += int64(len(whole))
	for line := range bytes.Lines(whole) {
		e, err := timeline.Decode(bytes.TrimSpace(line))
		if err != nil {
			return errors.Trace(err)
		}
		t.events = append(t.events, e)
	}
	return nil
}

// count returns how many events after the mark match.
func (t *tail) count(want []condition) int {
	n := 0
	for _, e := range t.events {
		if t.after.Before(e.Time) && matches(e, want) {
			n++
		}
	}
	return n
}

// condition is a member of an event and the value that it must have.
type condition struct{ name, value string }

func parseConditions(args []string) ([]condition, error) {
	var out []condition
	for _, arg := range args {
		name, value, found := strings.Cut(arg, "=")
		if _, known := member(event.Event{}, name); !found || !known {
			return nil, structs.NewError(structs.CodeInvalid, "condition %q: want MEMBER=VALUE", arg)
		}
		out = append(out, condition{name, value})
	}
	return out, nil
}

func matches(e event.Event, want []condition) bool {
	for _, c := range want {
		got, _ := member(e, c.name)
		if got != c.value {
			return false
		}
	}
	return true
}

// member returns a member of an event as text.
func member(e event.Event, name string) (value string, known bool) {
	switch name {
	case "type":
		return string(e.Type), true
	case "proc":
		return e.Proc, true
	case "request":
		return e.Request, true
	case "key":
		return e.Key, true
	case "class":
		return e.Class, true
	case "job":
		return e.Job, true
	case "task":
		return string(e.Task), true
	case "attempt":
		return strconv.Itoa(e.Attempt), true
	case "worker":
		return e.Worker, true
	case "member":
		return e.Member, true
	case "state":
		return e.State, true
	case "outcome":
		return string(e.Outcome), true
	case "code":
		return string(e.Code), true
	case "detail":
		return e.Detail, true
	default:
		return "", false
	}
}

// mark: mark. Later wait-event commands see only the events after it.
func mark(r *run, _ *testscript.TestScript, _ []string) error {
	r.tail.after = r.recorder.Clock().Now()
	return nil
}

// waitEvent: wait-event BOUND [COUNT] MEMBER=VALUE... It waits until so many events
// (one if not stated) match since the mark.
func waitEvent(r *run, _ *testscript.TestScript, args []string) error {
	const form = "wait-event BOUND [COUNT] MEMBER=VALUE..."
	if len(args) < 3 {
		return usage(form)
	}
	bound, err := time.ParseDuration(args[1])
	if err != nil {
		return usage(form)
	}
	rest, need := args[2:], 1
	if n, err := strconv.Atoi(rest[0]); err == nil {
		rest, need = rest[1:], n
	}
	want, err := parseConditions(rest)
	if err != nil {
		return err
	}
	return r.await(want, need, bound)
}

func (r *run) await(want []condition, need int, bound time.Duration) error {
	deadline := time.Now().Add(bound)
	for {
		if err := r.tail.grow(); err != nil {
			return err
		}
		got := r.tail.count(want)
		if got >= need {
			return nil
		}
		if time.Now().After(deadline) {
			return structs.NewError(structs.CodeDeadline, "%d of %d events %v in %v", got, need, want, bound)
		}
		time.Sleep(pollEvery)
	}
}

// checkTimeline: check [FLAG...]. It runs hitch-timeline check over all
// event logs.
func checkTimeline(r *run, ts *testscript.TestScript, args []string) error {
	files, err := r.tail.files()
	if err != nil {
		return err
	}
	all := append([]string{"check"}, args[1:]...)
	return ts.Exec(filepath.Join(r.bin, "hitch-timeline"), append(all, files...)...)
}
