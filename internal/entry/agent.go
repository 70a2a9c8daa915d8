package entry

import (
	"context"
	"sync"
	"time"

	"dotterelhitch/internal/event"
	"dotterelhitch/internal/fleet"
	"dotterelhitch/internal/structs"
	"dotterelhitch/internal/worker"
)

// Bounds of an agent's calls.
const (
	agentCallTimeout = 2 * time.Second
	inventoryWait    = 5 * time.Second
	inventoryPause   = 50 * time.Millisecond
	agentRetry       = 200 * time.Millisecond
)

// agent carries the traffic between one owned worker and the control goroutine:
// it raises the fence, reads inventories, renews leases, and sends what is to be
// started, stopped and forgotten, several tasks to a call.
type agent struct {
	e      *Entry
	info   structs.Worker
	client *worker.Client
	cancel context.CancelFunc

	mu     sync.Mutex
	epoch  int64
	fenced bool
	// uptimeMs is the latest reading of the worker's uptime.
	uptimeMs int64
	starts   []startJob
	stops    []stopJob
	// throttles are the bounds to be set, in percent.
	throttles []throttleJob
	forgets   []worker.TaskRef
	wake      chan struct{}
	// refence asks for the fence to be raised anew.
	refence chan struct{}
}

type startJob struct {
	task worker.TaskStart
	// sent is true once the worker may have got it.
	sent bool
	done func(fleet.RunKey, error)
}

type stopJob struct {
	task       worker.TaskRef
	checkpoint bool
	done       func(fleet.RunKey, error)
}

type throttleJob struct {
	task worker.TaskThrottle
	done func(fleet.RunKey, error)
}

func newAgent(e *Entry, w structs.Worker, epoch int64, cancel context.CancelFunc) *agent {
	return &agent{
		epoch: epoch,
		e:     e,
		info:  w,
		client: worker.New(worker.Config{
			Addr:    w.Addr,
			Keys:    e.settings.Auth.PlatformKeys,
			Clock:   e.clock,
			Timeout: agentCallTimeout,
			Traffic: &e.workerTraffic,
		}),
		cancel:  cancel,
		wake:    make(chan struct{}, 1),
		refence: make(chan struct{}, 1),
	}
}

// run works for the worker until ctx ends.
func (a *agent) run(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(func() { a.commandLoop(ctx) })
	loops.Go(func() { a.leaseLoop(ctx) })
	for ctx.Err() == nil {
		seq, ok := a.fence(ctx)
		if !ok {
			pause(ctx, agentRetry)
			continue
		}
		a.watch(ctx, seq)
	}
	loops.Wait()
	a.drop()
}

// command returns what every command bears, and whether the fence is raised.
func (a *agent) command() (worker.CommandHeader, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return worker.CommandHeader{Epoch: a.epoch, Owner: a.e.member.ID, WorkerUptimeMs: a.uptimeMs}, a.fenced
}

// noteUptime keeps a reading of the worker's uptime. It is called after the control
// goroutine has taken note of the answer, so that no lease outlasts what it counts
// on. fresh is set after a fence call, since the worker may have restarted.
func (a *agent) noteUptime(ms int64, fresh bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if fresh || ms > a.uptimeMs {
		a.uptimeMs = ms
	}
}

// fence raises the fence and hands the inventory to the control goroutine.
func (a *agent) fence(ctx context.Context) (seq int64, ok bool) {
	cmd, _ := a.command()
	start := time.Now()
	inv, err := a.client.Fence(ctx, cmd)
	if structs.CodeOf(err) == structs.CodeStaleEpoch {
		a.stale(cmd.Epoch, true)
		return 0, false
	}
	if err != nil {
		return 0, false
	}
	held := false
	a.e.do(func() {
		if held = a.e.core.holds(a.info.ID, cmd.Epoch); held {
			a.e.core.fleet.ApplyInventory(a.info.ID, inv, true, start, time.Now())
		}
	})
	if !held {
		return 0, false
	}
	a.noteUptime(inv.UptimeMs, true)
	a.e.events.Record(event.Event{Type: event.WorkerGained, Member: a.e.member.ID, Worker: a.info.ID, Epoch: cmd.Epoch})
	a.setFenced(true)
	a.kick()
	return inv.Seq, true
}

// watch reads inventories until the fence has to be raised anew.
func (a *agent) watch(ctx context.Context, seq int64) {
	defer a.setFenced(false)
	for ctx.Err() == nil {
		select {
		case <-a.refence:
			return
		default:
		}
		cmd, _ := a.command()
		start := time.Now()
		inv, err := a.client.InventoryChanges(ctx, seq, inventoryWait)
		if err != nil {
			pause(ctx, agentRetry)
			continue
		}
		if inv.FenceEpoch != cmd.Epoch || inv.Owner != cmd.Owner {
			a.stale(cmd.Epoch, inv.FenceEpoch > cmd.Epoch)
			return
		}
		seq = inv.Seq
		a.e.do(func() {
			if a.e.core.holds(a.info.ID, cmd.Epoch) {
				a.e.core.fleet.ApplyInventory(a.info.ID, inv, false, start, time.Now())
			}
		})
		a.noteUptime(inv.UptimeMs, false)
		pause(ctx, inventoryPause)
	}
}

// leaseLoop renews the leases while the worker answers and the entry may.
func (a *agent) leaseLoop(ctx context.Context) {
	ticker := time.NewTicker(a.e.timing.Renew)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			a.renew(ctx)
		case <-ctx.Done():
			return
		}
	}
}

func (a *agent) renew(ctx context.Context) {
	cmd, fenced := a.command()
	if !fenced || !a.e.mayGrant() {
		return
	}
	start := time.Now()
	renewed, err := a.tryRenew(ctx, cmd)
	if structs.CodeOf(err) == structs.CodeDeadline {
		// The connection may be silent: the client has dropped it.
		start = time.Now()
		renewed, err = a.tryRenew(ctx, cmd)
	}
	if structs.CodeOf(err) == structs.CodeStaleEpoch {
		a.stale(cmd.Epoch, true)
		return
	}
	if err == nil {
		a.e.do(func() { a.e.core.fleet.WorkerAnswered(a.info.ID, start, time.Now()) })
		a.noteUptime(renewed.UptimeMs, false)
	}
}

// tryRenew bounds a renewal by half a heartbeat, so that one that meets a silent
// connection is repeated on another before the worker counts as unreachable.
func (a *agent) tryRenew(ctx context.Context, cmd worker.CommandHeader) (worker.RenewResult, error) {
	ctx, cancel := context.WithTimeout(ctx, a.e.timing.Heartbeat/2)
	defer cancel()
	return a.client.RenewLeases(ctx, cmd, a.e.timing.Lease)
}

// stale asks the control goroutine what to do about a worker whose fence is not that
// of an epoch. newer says that the fence is above it: the worker has another owner.
func (a *agent) stale(epoch int64, newer bool) {
	a.e.do(func() {
		if next, ok := a.e.core.staleFence(a.info.ID, epoch, newer); ok {
			a.regain(next)
		}
	})
}

// regain makes the agent raise the fence anew under an epoch.
func (a *agent) regain(epoch int64) {
	a.mu.Lock()
	a.epoch = epoch
	a.fenced = false
	a.mu.Unlock()
	select {
	case a.refence <- struct{}{}:
	default:
	}
}

func (a *agent) setFenced(on bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.fenced = on
}

func (a *agent) kick() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}
