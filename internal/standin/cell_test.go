package standin

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"dotterelhitch/internal/event"
	"dotterelhitch/internal/instancelist"
	"dotterelhitch/internal/platformlog"
	"dotterelhitch/internal/standin/workersvc"
	"dotterelhitch/internal/structs"
	"dotterelhitch/internal/worker"
)

const smallCell = `
[log]
appends_per_second = 400
[list]
lag = "10ms"
[[workers]]
prefix = "w"
count = 2
region = "casa"
domain = "casa-a"
cores = 16
memory_gib = 64
service_time = "5ms"
usage_lag = "10ms"
`

func startCell(t *testing.T, text string) (*Cell, chan event.Event) {
	t.Helper()
	topology, err := ParseTopology([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	events := make(chan event.Event, 10000)
	cell, err := Start(topology, Options{OnEvent: func(e event.Event) { events <- e }})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cell.Close)
	return cell, events
}

// await returns the first event of a type.
func await(t *testing.T, events <-chan event.Event, want event.Type) event.Event {
	t.Helper()
	timeout := time.After(10 * time.Second)
	for {
		select {
		case e := <-events:
			if e.Type == want {
				return e
			}
		case <-timeout:
			t.Fatalf("no event %s in 10 s", want)
		}
	}
}

// post sends a request to a worker's endpoint and returns status and body.
func post(t *testing.T, addr, id, body string) (int, []byte) {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s/v1/requests/%s", addr, id), strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Hitch-Epoch", "1")
	req.Header.Set("Hitch-Owner", "m1")
	req.Header.Set("Hitch-Deadline-Ms", "1000")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, b
}

func TestThinWholePath(t *testing.T) {
	ctx := context.Background()
	cell, events := startCell(t, smallCell)
	log := platformlog.New(platformlog.Config{BaseURL: "http://" + cell.Addr(LogName)})
	offset, err := log.Append(ctx, "control", []byte("one"))
	if err != nil || offset != 1 {
		t.Fatalf("append: offset %d, %v", offset, err)
	}
	batch, err := log.Read(ctx, "control", 1, 10, time.Second)
	if err != nil || len(batch.Records) != 1 || batch.NextOffset != 2 || string(batch.Records[0].Data) != "one" {
		t.Fatalf("read: %+v, %v", batch, err)
	}
	list := instancelist.New(instancelist.Config{BaseURL: "http://" + cell.Addr(ListName)})
	seen, err := list.Read(ctx, 1, 5*time.Second)
	if err != nil || len(seen.Instances) == 0 {
		t.Fatalf("list: %+v, %v", seen, err)
	}
	w := worker.New(worker.Config{Addr: cell.Addr("w0")})
	cmd := worker.CommandHeader{Epoch: 1, Owner: "m1"}
	if _, err := w.Fence(ctx, cmd); err != nil {
		t.Fatal(err)
	}
	start := worker.TaskStart{
		TaskRef: worker.TaskRef{Task: "g:j#0", Attempt: 1},
		Class:   "batch", Size: structs.Resources{CPUMilli: 500}, RunMs: 30, LeaseMs: 5000,
	}
	results, _, err := w.StartTasks(ctx, cmd, []worker.TaskStart{start})
	if err != nil || results[0].Error != nil {
		t.Fatalf("start: %+v, %v", results, err)
	}
	if e := await(t, events, event.TaskEnd); e.State != string(structs.AllocComplete) {
		t.Fatalf("task ended as %+v", e)
	}
	status, body := post(t, cell.Addr("w0"), "r1", "hello")
	if status != http.StatusOK || !bytes.Equal(body, workersvc.Answer([]byte("hello"))) {
		t.Fatalf("answer: status %d, %q", status, body)
	}
}
