package cell

import (
	"context"
	"time"

	"dotterelhitch/internal/agent"
	"dotterelhitch/internal/clock"
	"dotterelhitch/internal/controller"
	"dotterelhitch/internal/election"
	"dotterelhitch/internal/event"
	"dotterelhitch/internal/leaderlease"
	"dotterelhitch/internal/structs"
)

// takeOver fences the store, so that no earlier controller can append, and loads the jobs from
// it. It retries failed calls and returns false if the term ends.
func (l *leaderTerm) takeOver(v election.View, sent time.Time) bool {
	for !l.takeOverCall(l.store.Fence) {
		if l.ctx.Err() != nil {
			return false
		}
	}
	fencedAt := clock.Now()
	var records []controller.Record
	for !l.takeOverCall(func(ctx context.Context) (err error) {
		records, err = l.store.Load(ctx)
		return err
	}) {
		if l.ctx.Err() != nil {
			return false
		}
	}
	now := clock.Now()
	l.ctl.ConfirmEpoch(sent)
	if cfg := l.node.config.version.Load(); cfg != nil {
		l.ctl.SetConfig(cfg.Config, now)
	}
	l.inheritTimeOfDay(now)
	l.ctl.Load(records, now)
	l.ctl.AllowForDelay(agent.MaxDelay(l.ctl.WorkerCount()))
	l.ctl.BoundPredecessors(leaderlease.Predecessor{Epoch: l.predecessor.epoch, UsesWitnesses: v.Newest.Witnessed}, fencedAt, now)
	l.ctl.FollowedBy(l.node.self.Node, now)
	if v.Newest.Epoch == 0 || v.Newest.Resigned || v.LeaderProcessEnded || v.Newest.Node == l.node.self.Node {
		l.ctl.PredecessorEnded(l.predecessor.epoch, now)
	}
	l.updateAdvisorEntries(now)
	l.publishWaitingJobs()
	l.ready.Store(true)
	l.node.view.recordLeaderAnswer(l.epoch, true, nil, now)
	return true
}

// takeOverRetryPause is the pause after a failed call during takeover.
const takeOverRetryPause = 100 * time.Millisecond

// takeOverCall makes one store call of the takeover and reports whether it succeeded. It ends
// the term if the store has seen a newer epoch.
func (l *leaderTerm) takeOverCall(call func(context.Context) error) bool {
	err := call(l.ctx)
	if err == nil {
		return true
	}
	if structs.CodeOf(err) == structs.CodeStaleEpoch {
		l.stop()
		return false
	}
	l.node.record(event.Event{Type: event.Alarm, Code: structs.CodeOf(err), Epoch: l.epoch, Detail: "taking over: " + structs.AsError(err).Message})
	l.node.sleep(takeOverRetryPause)
	return false
}
