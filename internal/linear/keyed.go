// Package linear checks that what callers were told of requests with a key, and what
// the workers recorded, has an order in which each key's request runs once and every
// answer comes after it (linearizability, Herlihy and Wing 1990). The search is that
// of the porcupine library.
package linear

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"

	"dotterelhitch/internal/event"
	"dotterelhitch/internal/structs"
)

// Operation is one call of a caller, or one run on a worker, of a key.
type Operation struct {
	Key string
	// RunID is the system's request ID for a run on a worker, empty for a call.
	RunID string
	// Outcome and Digest are those of the answer that the caller received. Outcome is
	// empty if the caller received no answer.
	Outcome structs.Outcome
	Digest  string
	// Call and Return are positions in the run's merged time line.
	Call, Return int64
}

// Result says whether a history is linearizable.
type Result struct {
	Keys, Calls, Runs int
	// ViolatedKeys are the keys whose history has no order.
	ViolatedKeys []string
	// UndecidedKeys are the keys whose check exceeded its time limit.
	UndecidedKeys []string
}

// OK reports whether every key's history has an order.
func (r Result) OK() bool { return len(r.ViolatedKeys) == 0 && len(r.UndecidedKeys) == 0 }

// neverReturned is the Return of a call whose caller received no answer.
const neverReturned = math.MaxInt64

// callID identifies a call by the calling process and the request ID that it chose.
type callID struct{ proc, request string }

// KeyedOperations returns the operations of a merged time line.
func KeyedOperations(events []event.Event) []Operation {
	var ops []Operation
	openCalls := make(map[callID]int)
	for i, e := range events {
		position := 2 * int64(i)
		id := callID{proc: e.Proc, request: e.Request}
		switch {
		case e.Type == event.RequestRun && e.Key != "":
			ops = append(ops, Operation{Key: e.Key, RunID: e.Request, Call: position, Return: position + 1})
		case e.Type == event.CallerRequestSent && e.Key != "":
			openCalls[id] = len(ops)
			ops = append(ops, Operation{Key: e.Key, Call: position, Return: neverReturned})
		case e.Type == event.CallerRequestEnded:
			if at, found := openCalls[id]; found {
				ops[at].Outcome = e.Outcome
				ops[at].Digest = e.Digest
				ops[at].Return = position
			}
		}
	}
	return ops
}

// keyState is a key in the model: the request that ran, and the digest that the first
// answer bore.
type keyState struct{ ran, digest string }

// step applies an operation to a key. A call that was not answered changes nothing:
// if its request ran, the worker's run is an operation of its own.
func step(state, input, _ any) (bool, any) {
	s, op := state.(keyState), input.(Operation)
	switch {
	case op.RunID != "":
		return s.ran == "", keyState{ran: op.RunID}
	case op.Outcome != structs.OutcomeAnswered:
		return true, s
	case s.ran == "" || s.digest != "" && s.digest != op.Digest:
		return false, s
	}
	s.digest = op.Digest
	return true, s
}

// CheckKeyed looks for an order of each key's operations, for at most the given time
// on each.
func CheckKeyed(ops []Operation, limit time.Duration) Result {
	model := porcupine.Model{Init: func() any { return keyState{} }, Step: step}
	byKey := make(map[string][]porcupine.Operation)
	var r Result
	for i, op := range ops {
		if op.RunID != "" {
			r.Runs++
		} else {
			r.Calls++
		}
		byKey[op.Key] = append(byKey[op.Key], porcupine.Operation{
			ClientId: i, Input: op, Call: op.Call, Return: op.Return,
		})
	}
	r.Keys = len(byKey)
	for _, key := range slices.SortedFunc(maps.Keys(byKey), cmp.Compare[string]) {
		switch porcupine.CheckOperationsTimeout(model, byKey[key], limit) {
		case porcupine.Illegal:
			r.ViolatedKeys = append(r.ViolatedKeys, key)
		case porcupine.Unknown:
			r.UndecidedKeys = append(r.UndecidedKeys, key)
		}
	}
	return r
}
