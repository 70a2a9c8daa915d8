package timeline

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"dotterelhitch/internal/command/cli"
)

const (
	workerLog = `{"t":{"us":1000000},"seq":1,"proc":"w","type":"worker_boot","worker":"w","size":{"cpu_milli":4000,"memory_mib":4}}
{"t":{"us":3000000},"seq":2,"proc":"w","type":"task_run","worker":"w","task":"g:j#0","size":{"cpu_milli":1000,"memory_mib":1}}
`
	entryLog = `{"t":{"us":2000000},"seq":1,"proc":"m","type":"task_placed","worker":"w","task":"g:j#0"}
{"t":{"us":9`
)

func write(t *testing.T, dir, name, text string) string {
	t.Helper()
	path := filepath.Join(dir, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestCommands(t *testing.T) {
	dir := t.TempDir()
	worker := write(t, dir, "w", workerLog)
	entry := write(t, dir, "m", entryLog)
	twice := write(t, dir, "twice", workerLog+strings.Split(workerLog, "\n")[1]+"\n")
	garbage := write(t, dir, "garbage", "what\n"+workerLog)
	empty := write(t, dir, "empty", "")
	for _, c := range []struct {
		args []string
		code int
		want string
	}{
		{[]string{"show", worker, entry}, cli.ExitOK, "the last line is cut off\n00:00:01.000000.0 w worker_boot"},
		{[]string{"show", worker, entry}, cli.ExitOK, "m task_placed task=g:j#0 worker=w\n00:00:03"},
		{[]string{"show", worker, "--type", "task_run", "--json"}, cli.ExitOK, `"type":"task_run"`},
		{[]string{"show", worker, "--from", "noon"}, cli.ExitUsage, "RFC 3339"},
		{[]string{"show", garbage}, cli.ExitUsage, "garbage:1: not an event"},
		{[]string{"show", filepath.Join(dir, "none")}, cli.ExitNotFound, "none"},
		{[]string{"show"}, cli.ExitUsage, "requires at least 1 arg"},
		{[]string{"check", worker, entry}, cli.ExitOK, "task runs                1"},
		{[]string{"check", twice}, cli.ExitFailed, "task_in_two_places: task g:j#0 runs twice on worker w\n    00:00:03"},
		{[]string{"check", twice, "--json"}, cli.ExitFailed, `"kind": "task_in_two_places"`},
		{[]string{"measure", worker}, cli.ExitOK, "processors"},
		{[]string{"check", empty}, cli.ExitFailed, "nothing was checked"},
	} {
		var out bytes.Buffer
		code := cli.Run(context.Background(), New(), c.args, cli.Streams{In: strings.NewReader(""), Out: &out, Err: &out})
		if code != c.code || !strings.Contains(out.String(), c.want) {
			t.Errorf("%v: exit code %d, want %d with %q; output:\n%s", c.args, code, c.code, c.want, &out)
		}
	}
}
