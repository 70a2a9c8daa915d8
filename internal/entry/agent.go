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

// Time-outs and intervals of an agent's calls to its worker.
const (
	agentCallTimeout  = 2 * time.Second
	inventoryWait     = 5 * time.Second
	inventoryInterval = 50 * time.Millisecond
	agentRetryDelay   = 200 * time.Millisecond
)

// agent carries the calls between one owned worker and the control goroutine: it raises
// the worker's fence, polls its inventory, renews its leases, and sends the queued
// commands (start, stop, throttle, forget) in batches.
type agent struct {
	e      *Entry
	info   structs.Worker
	client *worker.Client
	cancel context.CancelFunc

	mu     sync.Mutex
	epoch  int64
	fenced bool
	// uptimeMs is the latest known uptime of the worker.
	uptimeMs int64
	starts   []queuedStart
	stops    []queuedStop
	// throttles are the processor limits to be set, in percent.
	throttles []queuedThrottle
	forgets   []worker.TaskRef
	// wake makes commandLoop send the queued commands.
	wake chan struct{}
	// refenceRequested makes followInventory return, so that the fence is raised again.
	refenceRequested chan struct{}
}

type queuedStart struct {
	task worker.TaskStart
	// sent is set once the start may have reached the worker.
	sent bool
	done func(fleet.RunKey, error)
}

type queuedStop struct {
	task       worker.TaskRef
	checkpoint bool
	done       func(fleet.RunKey, error)
}

type queuedThrottle struct {
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
		cancel:           cancel,
		wake:             make(chan struct{}, 1),
		refenceRequested: make(chan struct{}, 1),
	}
}

// run serves the worker until ctx ends.
func (a *agent) run(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(func() { a.commandLoop(ctx) })
	loops.Go(func() { a.leaseLoop(ctx) })
	for ctx.Err() == nil {
		seq, ok := a.raiseFence(ctx)
		if !ok {
			sleep(ctx, agentRetryDelay)
			continue
		}
		a.followInventory(ctx, seq)
	}
	loops.Wait()
	a.failQueued()
}

// commandHeader returns the fields common to all commands, and whether the fence is
// raised.
func (a *agent) commandHeader() (worker.CommandHeader, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return worker.CommandHeader{Epoch: a.epoch, Owner: a.e.member.ID, WorkerUptimeMs: a.uptimeMs}, a.fenced
}

// recordUptime stores an uptime that the worker reported. It must be called after the
// control goroutine has processed the answer with the uptime: commands carry the uptime,
// so a later one must not extend a lease past what the control goroutine assumes.
// afterFence is set after a fence call; then a lower uptime counts too, since the worker
// may have restarted.
func (a *agent) recordUptime(ms int64, afterFence bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if afterFence || ms > a.uptimeMs {
		a.uptimeMs = ms
	}
}

// raiseFence raises the worker's fence to the agent's epoch, passes the inventory in the
// answer to the control goroutine, and returns the inventory's sequence number.
func (a *agent) raiseFence(ctx context.Context) (seq int64, ok bool) {
	cmd, _ := a.commandHeader()
	start := time.Now()
	inv, err := a.client.Fence(ctx, cmd)
	if structs.CodeOf(err) == structs.CodeStaleEpoch {
		a.handleFenceMismatch(cmd.Epoch, true)
		return 0, false
	}
	if err != nil {
		return 0, false
	}
	owned := false
	a.e.runOnControl(func() {
		if owned = a.e.core.ownsWorkerAt(a.info.ID, cmd.Epoch); owned {
			a.e.core.fleet.ApplyInventory(a.info.ID, inv, true, start, time.Now())
		}
	})
	if !owned {
		return 0, false
	}
	a.recordUptime(inv.UptimeMs, true)
	a.e.events.Record(event.Event{Type: event.WorkerGained, Member: a.e.member.ID, Worker: a.info.ID, Epoch: cmd.Epoch})
	a.setFenced(true)
	a.signal()
	return inv.Seq, true
}

// followInventory polls the worker's inventory until the fence has to be raised again.
func (a *agent) followInventory(ctx context.Context, seq int64) {
	defer a.setFenced(false)
	for ctx.Err() == nil {
		select {
		case <-a.refenceRequested:
			return
		default:
		}
		cmd, _ := a.commandHeader()
		start := time.Now()
		inv, err := a.client.InventoryChanges(ctx, seq, inventoryWait)
		if err != nil {
			sleep(ctx, agentRetryDelay)
			continue
		}
		if inv.FenceEpoch != cmd.Epoch || inv.Owner != cmd.Owner {
			a.handleFenceMismatch(cmd.Epoch, inv.FenceEpoch > cmd.Epoch)
			return
		}
		seq = inv.Seq
		a.e.runOnControl(func() {
			if a.e.core.ownsWorkerAt(a.info.ID, cmd.Epoch) {
				a.e.core.fleet.ApplyInventory(a.info.ID, inv, false, start, time.Now())
			}
		})
		a.recordUptime(inv.UptimeMs, false)
		sleep(ctx, inventoryInterval)
	}
}

// leaseLoop renews the worker's leases periodically, as long as the fence is raised and
// this entry has authority.
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
	cmd, fenced := a.commandHeader()
	if !fenced || !a.e.mayGrant() {
		return
	}
	start := time.Now()
	renewed, err := a.tryRenew(ctx, cmd)
	if structs.CodeOf(err) == structs.CodeDeadline {
		// The connection may be dead without an error. The client has closed it, so the
		// second attempt uses a new one.
		start = time.Now()
		renewed, err = a.tryRenew(ctx, cmd)
	}
	if structs.CodeOf(err) == structs.CodeStaleEpoch {
		a.handleFenceMismatch(cmd.Epoch, true)
		return
	}
	if err == nil {
		a.e.runOnControl(func() { a.e.core.fleet.WorkerAnswered(a.info.ID, start, time.Now()) })
		a.recordUptime(renewed.UptimeMs, false)
	}
}

// tryRenew limits a renewal to half a heartbeat interval, so that after a time-out on a
// dead connection there is time for a second attempt before the worker counts as
// unreachable.
func (a *agent) tryRenew(ctx context.Context, cmd worker.CommandHeader) (worker.RenewResult, error) {
	ctx, cancel := context.WithTimeout(ctx, a.e.timing.Heartbeat/2)
	defer cancel()
	return a.client.RenewLeases(ctx, cmd, a.e.timing.Lease)
}

// handleFenceMismatch asks the control goroutine what to do about a worker whose fence
// differs from the given epoch. newer is set if the fence is higher, which means that
// the worker has another owner.
func (a *agent) handleFenceMismatch(epoch int64, newer bool) {
	a.e.runOnControl(func() {
		if newEpoch, ok := a.e.core.handleFenceMismatch(a.info.ID, epoch, newer); ok {
			a.refence(newEpoch)
		}
	})
}

// refence makes the agent raise the fence again, to the given epoch.
func (a *agent) refence(epoch int64) {
	a.mu.Lock()
	a.epoch = epoch
	a.fenced = false
	a.mu.Unlock()
	select {
	case a.refenceRequested <- struct{}{}:
	default:
	}
}

func (a *agent) setFenced(on bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.fenced = on
}

func (a *agent) signal() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}
