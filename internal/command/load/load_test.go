package load

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"dotterelhitch/internal/caller"
	"dotterelhitch/internal/command/cli"
	"dotterelhitch/internal/httpx"
	"dotterelhitch/internal/structs"
)

const experiment = `name = "short"
targets = ["127.0.0.1:1"]
duration = "50ms"
[[requests]]
class = "lookups"
idempotent = true
arrivals = "at_once"
arrival_count = 5
`

func runCommand(args ...string) (int, string) {
	var out bytes.Buffer
	code := cli.Run(context.Background(), New(), args, cli.Streams{In: strings.NewReader(""), Out: &out, Err: &out})
	return code, out.String()
}

func TestRunComparePlot(t *testing.T) {
	dir := t.TempDir()
	file := filepath.Join(dir, "short.toml")
	if err := os.WriteFile(file, []byte(experiment), 0o600); err != nil {
		t.Fatal(err)
	}
	wrong := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		a := structs.Answer{RequestID: "r", Outcome: structs.OutcomeAnswered, Body: []byte("another's")}
		httpx.WriteJSON(w, caller.StatusOf(a), a)
	}))
	defer wrong.Close()
	out := filepath.Join(dir, "out")
	if code, text := runCommand("run", file, "--out", out, "--target", wrong.URL, "--seed", "9"); code != cli.ExitFailed || !strings.Contains(text, "5 wrong answers") {
		t.Errorf("wrong answers: exit code %d:\n%s", code, text)
	}
	if code, text := runCommand("run", file, "--out", out); code != cli.ExitOK || !strings.Contains(text, "not_run 5") {
		t.Errorf("no entry: exit code %d:\n%s", code, text)
	}
	for _, name := range []string{reportFile, markdownFile, eventsFile, waitsFile, ratesFile} {
		if _, err := os.Stat(filepath.Join(out, name)); err != nil {
			t.Errorf("file of the run: %v", err)
		}
	}
	report := filepath.Join(out, reportFile)
	if code, text := runCommand("compare", report, report); code != cli.ExitOK || !strings.Contains(text, "| lookups | sent | 5 | 5 | 1.000 |") {
		t.Errorf("compare: exit code %d:\n%s", code, text)
	}
	if code, text := runCommand("plot", report, "--out", filepath.Join(dir, "x.png")); code != cli.ExitOK {
		t.Errorf("plot: exit code %d:\n%s", code, text)
	}
	if code, _ := runCommand("compare", report, file); code != cli.ExitUsage {
		t.Errorf("compare with no report: exit code %d, want %d", code, cli.ExitUsage)
	}
}
