package timeline

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/juju/errors"

	"dotterelhitch/internal/event"
	"dotterelhitch/internal/structs"
)

// textTime is the form of a time in text output.
const textTime = "15:04:05.000000"

// WriteText writes one line of text an event.
func WriteText(w io.Writer, events []event.Event) error {
	out := bufio.NewWriter(w)
	for _, e := range events {
		fmt.Fprintln(out, Text(e))
	}
	return errors.Trace(out.Flush())
}

// WriteJSON writes one line of JSON an event, as Read takes it.
func WriteJSON(w io.Writer, events []event.Event) error {
	out := bufio.NewWriter(w)
	enc := json.NewEncoder(out)
	for _, e := range events {
		if err := enc.Encode(e); err != nil {
			return errors.Trace(err)
		}
	}
	return errors.Trace(out.Flush())
}

// Text renders an event in one line: its time, process, type and every member
// that applies.
func Text(e event.Event) string {
	var b strings.Builder
	at := time.UnixMicro(e.Time.Micros).UTC().Format(textTime)
	fmt.Fprintf(&b, "%s.%d %s %s", at, e.Time.Counter, e.Proc, e.Type)
	add := func(name, value string) {
		if value != "" {
			fmt.Fprintf(&b, " %s=%s", name, quote(value))
		}
	}
	add("request", e.Request)
	add("key", e.Key)
	add("idempotent", flag(e.Idempotent))
	add("class", e.Class)
	add("job", e.Job)
	add("task", string(e.Task))
	add("attempt", number(int64(e.Attempt)))
	add("count", number(int64(e.Count)))
	add("worker", e.Worker)
	add("member", e.Member)
	add("epoch", number(e.Epoch))
	add("version", number(e.Version))
	add("size", size(e.Size))
	add("state", e.State)
	add("outcome", string(e.Outcome))
	add("code", string(e.Code))
	add("digest", e.Digest)
	add("expect", e.ExpectedDigest)
	add("bytes", number(int64(e.Bytes)))
	add("candidates", number(int64(e.Candidates)))
	add("age_ms", number(e.AgeMs))
	add("detail", e.Detail)
	return b.String()
}

// quote quotes a value that would not read as one word.
func quote(s string) string {
	for _, r := range s {
		if r <= ' ' || r == '"' || r > '~' {
			return fmt.Sprintf("%q", s)
		}
	}
	return s
}

func flag(b bool) string {
	if b {
		return "true"
	}
	return ""
}

func number(n int64) string {
	if n == 0 {
		return ""
	}
	return fmt.Sprint(n)
}

func size(r *structs.Resources) string {
	if r == nil {
		return ""
	}
	return fmt.Sprintf("%dm/%dMiB/%d", r.CPUMilli, r.MemoryMiB, r.Accelerators)
}
