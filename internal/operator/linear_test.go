package operator_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"dotterelhitch/internal/embedded"
	"dotterelhitch/internal/httpx"
	"dotterelhitch/internal/operator"
	"dotterelhitch/internal/standin"
	"dotterelhitch/internal/standin/logsvc"
	"dotterelhitch/internal/structs"
)

// set is one change of a class: a compare-and-set of its version.
type set struct {
	base  int64
	value structs.Duration
}

// told is what the operator was told of a change.
type told struct {
	// unknown is true if the operator learnt nothing: it may take effect at
	// any later time.
	unknown  bool
	accepted bool
	version  int64
	value    structs.Duration
}

// register is the class's state in the model; version is -1 after a change of
// which nobody was told.
type register struct {
	version int64
	value   structs.Duration
}

// step returns the states that may follow.
func step(state, input, output any) []any {
	s, in, out := state.(register), input.(set), output.(told)
	switch {
	case out.unknown:
		return []any{s, register{version: -1, value: in.value}}
	case out.accepted:
		if (s.version == in.base || s.version == -1) && out.version > s.version && out.version > in.base {
			return []any{register{version: out.version, value: in.value}}
		}
	case out.value == s.value && (out.version == s.version || s.version == -1) && out.version != in.base:
		return []any{register{version: out.version, value: s.value}}
	}
	return nil
}

var model = (&porcupine.NondeterministicModel{
	Init: func() []any { return []any{register{}} },
	Step: step,
}).ToModel()

func TestModelRefusesALostUpdate(t *testing.T) {
	accepted := func(client int, at int64, base, version int64) porcupine.Operation {
		return porcupine.Operation{
			ClientId: client, Call: at, Return: at + 1,
			Input:  set{base, structs.Duration(version)},
			Output: told{accepted: true, version: version, value: structs.Duration(version)},
		}
	}
	good := []porcupine.Operation{accepted(0, 0, 0, 5), accepted(1, 2, 5, 6)}
	if !porcupine.CheckOperations(model, good) {
		t.Error("two changes in a row must pass")
	}
	bad := []porcupine.Operation{accepted(0, 0, 0, 5), accepted(1, 2, 0, 6)}
	if porcupine.CheckOperations(model, bad) {
		t.Error("two changes with one base must not pass")
	}
}

const topology = `
[[workers]]
prefix = "w"
count = 1
region = "casa"
domain = "casa-a"
cores = 4
memory_gib = 8
`

// history gathers the operations of all operators.
type history struct {
	mu    sync.Mutex
	start time.Time
	ops   []porcupine.Operation
	// after is the time at which an operation of unknown outcome returns.
	after int64
}

func (h *history) add(client int, call time.Time, in set, out told) {
	h.mu.Lock()
	defer h.mu.Unlock()
	op := porcupine.Operation{ClientId: client, Input: in, Output: out, Call: call.Sub(h.start).Nanoseconds()}
	op.Return = time.Since(h.start).Nanoseconds()
	if out.unknown {
		op.Return = h.after
	}
	h.ops = append(h.ops, op)
}

// race makes changes that are each based on what the operator was told last.
func race(ctx context.Context, client int, c *operator.Client, changes int, h *history) {
	var base int64
	for i := range changes {
		value := structs.Duration(time.Duration(1+client*changes+i) * time.Second)
		class := structs.Class{Name: "raced", Kind: structs.KindBatch, Target: structs.Target{FinishWithin: value}}
		call := time.Now()
		change, err := c.SetClass(ctx, class, base)
		out := told{unknown: err != nil, accepted: change.Accepted, version: change.Version, value: value}
		if now, ok := change.Current.(*structs.Class); ok && !change.Accepted {
			out.value = now.Target.FinishWithin
		}
		if !change.Accepted && change.Current == nil {
			out.value = 0
		}
		h.add(client, call, set{base, value}, out)
		if err == nil {
			base = change.Version
		}
	}
}

// TestChangesAreLinearizable lets operators race through different entries while
// the answers to some appends are lost and one entry dies.
func TestChangesAreLinearizable(t *testing.T) {
	const operators, changes = 4, 12
	top, err := standin.ParseTopology([]byte(topology))
	if err != nil {
		t.Fatal(err)
	}
	cell, err := embedded.Start(embedded.Config{Topology: top, Regions: []string{"casa"}})
	if err != nil {
		t.Fatal(err)
	}
	defer cell.Close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	var servers []string
	for range 3 {
		e, err := cell.StartEntry("casa", "casa-a")
		if err != nil {
			t.Fatal(err)
		}
		servers = append(servers, "http://"+e.OperatorAddr())
	}
	if err := cell.AwaitReady(ctx); err != nil {
		t.Fatal(err)
	}
	lose := &logsvc.LostAnswers{Count: 6, Stream: "control"}
	if err := cell.Standins.Log().ChangeFaults(logsvc.FaultChange{LostAnswers: lose}); err != nil {
		t.Fatal(err)
	}
	h := &history{start: time.Now(), after: time.Hour.Nanoseconds()}
	var racers sync.WaitGroup
	for client := range operators {
		first := servers[client%len(servers)]
		c := &operator.Client{ServerURLs: append([]string{first}, servers...), HTTP: &http.Client{Transport: httpx.NewTransport(nil)}}
		racers.Go(func() { race(ctx, client, c, changes, h) })
	}
	cell.LiveEntries()[2].Kill()
	racers.Wait()
	report(t, h, operators*changes)
	if result := porcupine.CheckOperationsTimeout(model, h.ops, time.Minute); result != porcupine.Ok {
		t.Errorf("the changes are not linearizable: %s\n%s", result, describe(h.ops))
	}
}

// report fails a run in which no change was accepted or none was beaten.
func report(t *testing.T, h *history, want int) {
	t.Helper()
	var accepted, beaten, unknown int
	for _, op := range h.ops {
		switch out := op.Output.(told); {
		case out.unknown:
			unknown++
		case out.accepted:
			accepted++
		default:
			beaten++
		}
	}
	t.Logf("%d accepted, %d beaten, %d unknown", accepted, beaten, unknown)
	if accepted == 0 || beaten == 0 || accepted+beaten+unknown != want {
		t.Errorf("want some accepted and some beaten, %d in all", want)
	}
}

func describe(ops []porcupine.Operation) string {
	text := ""
	for _, op := range ops {
		text += fmt.Sprintf("%d: [%d, %d] %+v -> %+v\n", op.ClientId, op.Call, op.Return, op.Input, op.Output)
	}
	return text
}
