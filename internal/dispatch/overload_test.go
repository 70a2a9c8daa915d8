package dispatch

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"dotterelhitch/internal/endpoint"
	"dotterelhitch/internal/peer/peerv1"
	"dotterelhitch/internal/structs"
)

const (
	modelService  = 100 * time.Millisecond
	modelTarget   = time.Second
	modelDeadline = 3 * time.Second
	modelDigest   = 500 * time.Millisecond
	modelTime     = 12 * time.Second
	modelSlots    = 8
)

// modelEntry is an entry whose peers see its load with the lag of a digest.
type modelEntry struct {
	*cell
	name       string
	dispatcher *Dispatcher
	peers      []*modelEntry
	digest     Load
}

// newModel returns entries with so many workers each.
func newModel(t *testing.T, workers ...int) []*modelEntry {
	var entries []*modelEntry
	for i, n := range workers {
		e := &modelEntry{cell: newCell(n, modelSlots), name: fmt.Sprint("e", i)}
		e.send = func(int, structs.Request, time.Time) endpoint.Result {
			time.Sleep(modelService)
			return endpoint.Result{Outcome: structs.OutcomeAnswered}
		}
		e.dispatcher = New(Options{Member: e.name, Slots: e, Peers: e, Keys: e, Sender: e, Classes: e})
		entries = append(entries, e)
	}
	for _, e := range entries {
		e.peers = slices.DeleteFunc(slices.Clone(entries), func(p *modelEntry) bool { return p == e })
		e.report()
	}
	return entries
}

// load is the entry's load as of now.
func (e *modelEntry) load() Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	l := Load{
		Member: e.name, SameRegion: true, TotalSlots: len(e.free) * modelSlots,
		ServiceTime: modelService, RoundTrip: time.Millisecond,
	}
	for _, n := range e.free {
		l.FreeSlots += n
	}
	return l
}

// report brings the digest up to date.
func (e *modelEntry) report() {
	l := e.load()
	l.Queued = e.dispatcher.QueueLength()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.digest = l
}

// Loads implements Peers.
func (e *modelEntry) Loads() (Load, []Load) {
	var peers []Load
	for _, p := range e.peers {
		p.mu.Lock()
		peers = append(peers, p.digest)
		p.mu.Unlock()
	}
	return e.load(), peers
}

// Dispatch implements Peers.
func (e *modelEntry) Dispatch(ctx context.Context, member string, r *peerv1.DispatchRequest) (*peerv1.DispatchResponse, error) {
	i := slices.IndexFunc(e.peers, func(p *modelEntry) bool { return p.name == member })
	return e.peers[i].dispatcher.ServeForwarded(ctx, r), nil
}

// Class implements Classes.
func (e *modelEntry) Class(name string) (structs.Class, error) {
	target := structs.Target{AnswerWithin: structs.Duration(modelTarget)}
	return structs.Class{Name: name, Kind: structs.KindService, Target: target}, nil
}

// modelResult is what became of the requests.
type modelResult struct {
	mu       sync.Mutex
	sent     int
	waits    []time.Duration
	refusals []time.Duration
	codes    map[structs.Code]int
	hedges   uint64
}

func (m *modelResult) add(a structs.Answer, took time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.codes[codeOf(a.Err)]++
	if a.Outcome == structs.OutcomeAnswered {
		m.waits = append(m.waits, took)
		return
	}
	m.refusals = append(m.refusals, took)
}

// runModel offers requests to random entries for modelTime.
func runModel(t *testing.T, seed uint64, perSecond float64, workers ...int) *modelResult {
	m := &modelResult{codes: make(map[structs.Code]int)}
	entries := newModel(t, workers...)
	rng := rand.New(rand.NewPCG(seed, seed))
	end := time.Now().Add(modelTime)
	var all sync.WaitGroup
	all.Go(func() {
		for time.Now().Before(end) {
			time.Sleep(modelDigest)
			for _, e := range entries {
				e.report()
			}
		}
	})
	for time.Now().Before(end) {
		time.Sleep(time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second)))
		m.sent++
		e, id := entries[rng.IntN(len(entries))], fmt.Sprint("r", m.sent)
		all.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), modelDeadline)
			defer cancel()
			start := time.Now()
			a := e.dispatcher.HandleRequest(ctx, structs.Request{ID: id, Class: "lookups", Idempotent: true})
			m.add(a, time.Since(start))
		})
	}
	all.Wait()
	for _, e := range entries {
		_ = e.dispatcher.Drain(context.Background())
		m.hedges += e.dispatcher.counts.hedges.Get()
	}
	slices.Sort(m.waits)
	slices.Sort(m.refusals)
	return m
}

func p99(list []time.Duration) time.Duration {
	if len(list) == 0 {
		return 0
	}
	return list[len(list)*99/100]
}

// TestAnswersNearCapacity checks at entries with unlike numbers of workers, one of them
// without any, that the target's room is used: what is answered is near what is offered or
// what the slots can do, within the target, and the rest is refused early.
func TestAnswersNearCapacity(t *testing.T) {
	const nearCapacity = 0.95
	workers := []int{2, 0, 1}
	capacity := 3 * modelSlots / modelService.Seconds()
	for _, load := range []float64{0.8, 0.96, 1, 2, 5} {
		t.Run(fmt.Sprint(load), func(t *testing.T) {
			for seed := range uint64(3) {
				synctest.Test(t, func(t *testing.T) {
					m := runModel(t, seed+1, load*capacity, workers...)
					able := min(float64(m.sent), capacity*modelTime.Seconds())
					part := float64(len(m.waits)) / able
					t.Logf("seed %d: %.3f of what was possible, p50 %v p99 %v, refused %d with p99 %v, %v, hedges %d",
						seed+1, part, m.waits[len(m.waits)/2], p99(m.waits), len(m.refusals), p99(m.refusals), m.codes, m.hedges)
					if part < nearCapacity {
						t.Errorf("answered %.3f of what was possible", part)
					}
					if load < 1 && m.hedges > uint64(m.sent/100) {
						t.Errorf("%d second attempts although no endpoint is slow", m.hedges)
					}
					if p99(m.waits) > modelTarget || p99(m.refusals) > modelTarget {
						t.Errorf("p99 %v of answers, %v of refusals", p99(m.waits), p99(m.refusals))
					}
				})
			}
		})
	}
}
