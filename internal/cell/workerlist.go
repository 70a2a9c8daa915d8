package cell

import (
	"strings"
	"time"

	"dotterelhitch/internal/stream"
	"dotterelhitch/internal/structs"
	"dotterelhitch/internal/workload"
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
		w, err := l.decodeWorker(id, records[i].Value)
		if err != nil {
			l.node.stats.malformedWorkerRecords.Inc()
			continue
		}
		listed[id] = true
		l.post(func(now time.Time) { l.ctl.SetWorker(w, now) })
	}
}

// maxWorkerIDBytes is the maximum length of a worker ID. With its prefix, the key under which a
// worker in use is stored stays below the log's limit of 255 bytes.
const maxWorkerIDBytes = 128

// decodeWorker decodes the record of a worker.
func (l *leaderTerm) decodeWorker(id string, value []byte) (workload.Worker, error) {
	if !validWorkerID(id) {
		return workload.Worker{}, structs.NewError(structs.CodeInvalid, "worker ID of %d bytes: want 1 to %d printable ASCII characters", len(id), maxWorkerIDBytes)
	}
	return l.node.opts.Topics.DecodeWorker(id, value)
}

// validWorkerID reports whether an ID can be used as a key of the log, in messages to agents and in
// headers of orders.
func validWorkerID(id string) bool {
	notPrintable := func(r rune) bool { return r <= ' ' || r > '~' }
	return id != "" && len(id) <= maxWorkerIDBytes && !strings.ContainsFunc(id, notPrintable)
}
