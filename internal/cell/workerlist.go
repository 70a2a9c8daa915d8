package cell

import (
	"time"

	"dotterelhitch/internal/stream"
)

const (
	// workerReadWait is how long a read of the list of workers waits for a change.
	// workerReadPause is the pause between reads, which batches the changes: every worker
	// rewrites its record with each of its heartbeats.
	workerReadWait  = 2 * time.Second
	workerReadPause = 250 * time.Millisecond
)

// followWorkers reads the platform's list of workers, and posts its changes to the control
// goroutine, until the term ends.
func (l *leaderTerm) followWorkers() {
	listed := map[string]bool{}
	f := stream.Follower{
		Reader:            l.node.log,
		Topic:             l.node.opts.Topics.WorkerTopic,
		PollWait:          workerReadWait,
		PauseAfterRecords: workerReadPause,
		OnError:           func(error) {},
		OnReload: func(records []stream.Record, _ time.Time) {
			unlisted := listed
			listed = map[string]bool{}
			l.applyWorkerRecords(records, listed)
			for id := range unlisted {
				if !listed[id] {
					l.post(func(now time.Time) { l.ctl.UnlistWorker(id, now) })
				}
			}
		},
		OnRecords: func(records []stream.Record, _ time.Time) { l.applyWorkerRecords(records, listed) },
	}
	f.Run(l.ctx)
}

// applyWorkerRecords posts the changes in records of the list of workers to the control
// goroutine and updates listed, the set of listed worker IDs. Malformed records are counted and
// ignored.
func (l *leaderTerm) applyWorkerRecords(records []stream.Record, listed map[string]bool) {
	for i := range records {
		id := records[i].Key
		if len(records[i].Value) == 0 {
			delete(listed, id)
			l.post(func(now time.Time) { l.ctl.UnlistWorker(id, now) })
			continue
		}
		w, err := l.node.opts.Topics.DecodeWorker(id, records[i].Value)
		if err != nil {
			l.node.stats.malformedWorkerRecords.Inc()
			continue
		}
		listed[id] = true
		l.post(func(now time.Time) { l.ctl.SetWorker(w, now) })
	}
}
