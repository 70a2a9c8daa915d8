package cell

import (
	"strings"
	"time"

	"dotterelhitch/internal/event"
	"dotterelhitch/internal/stream"
	"dotterelhitch/internal/structs"
	"dotterelhitch/internal/workload"
)

const (
	// workerReadWait is how long a read of the list of workers waits for a change. As with
	// configReadWait it bounds how long a dead connection goes unnoticed.
	// workerReadPause is the pause between reads, which batches the changes: every worker
	// rewrites its record with each of its heartbeats.
	workerReadWait  = time.Second
	workerReadPause = 250 * time.Millisecond
)

// workerList is the list of workers as a term has read it.
type workerList struct {
	term *leaderTerm
	// listed are the IDs of the listed workers.
	listed map[string]bool
	// reported are the keys of malformed records that were reported in an event.
	reported map[string]bool
}

// followWorkers reads the platform's list of workers, and posts its changes to the control
// goroutine, until the term ends.
func (l *leaderTerm) followWorkers() {
	list := &workerList{term: l, listed: map[string]bool{}, reported: map[string]bool{}}
	f := stream.Follower{
		Reader:            l.node.log,
		Topic:             l.node.opts.Topics.WorkerTopic,
		PollWait:          workerReadWait,
		PauseAfterRecords: workerReadPause,
		OnError:           func(error) {},
		OnReload:          func(records []stream.Record, _ time.Time) { list.reload(records) },
		OnRecords:         func(records []stream.Record, _ time.Time) { list.apply(records) },
	}
	f.Run(l.ctx)
}

// reload replaces the list by the newest records of all keys.
func (w *workerList) reload(records []stream.Record) {
	before := w.listed
	w.listed = map[string]bool{}
	w.apply(records)
	for id := range before {
		if !w.listed[id] {
			w.unlist(id)
		}
	}
}

// apply applies records to the list. Malformed records are counted, and unlist the worker with their
// key until it has a readable one.
func (w *workerList) apply(records []stream.Record) {
	for i := range records {
		id := records[i].Key
		if len(records[i].Value) == 0 && !records[i].Malformed {
			w.unlist(id)
			continue
		}
		worker, err := w.decode(&records[i])
		if err != nil {
			w.countMalformed(id, err)
			w.unlist(id)
			continue
		}
		w.listed[id] = true
		w.term.post(func(now time.Time) { w.term.ctl.SetWorker(worker, now) })
	}
}

func (w *workerList) unlist(id string) {
	delete(w.listed, id)
	w.term.post(func(now time.Time) { w.term.ctl.UnlistWorker(id, now) })
}

// Limits of the events of malformed records: the number of keys in a term that have one, and the
// length of the reason in bytes.
const (
	maxMalformedReports = 50
	maxReasonBytes      = 200
)

// countMalformed counts a malformed record. The first one of a key is reported in an event.
func (w *workerList) countMalformed(key string, err error) {
	w.term.node.stats.malformedWorkerRecords.Inc()
	if w.reported[key] || len(w.reported) >= maxMalformedReports {
		return
	}
	w.reported[key] = true
	w.term.node.record(event.Event{
		Type:   event.WorkerMalformed,
		Worker: truncate(key, maxWorkerIDBytes),
		Code:   structs.CodeOf(err),
		Detail: truncate(structs.AsError(err).Message, maxReasonBytes),
	})
}

// truncate returns the beginning of a text, at most n bytes.
func truncate(s string, n int) string { return s[:min(len(s), n)] }

// maxWorkerIDBytes is the maximum length of a worker ID. With its prefix, the key under which a
// worker in use is stored stays below the log's limit of 255 bytes.
const maxWorkerIDBytes = 128

// decode decodes the record of a worker.
func (w *workerList) decode(r *stream.Record) (workload.Worker, error) {
	switch {
	case r.Malformed:
		return workload.Worker{}, structs.NewError(structs.CodeInvalid, "unreadable record at offset %d", r.Offset)
	case !validWorkerID(r.Key):
		return workload.Worker{}, structs.NewError(structs.CodeInvalid, "worker ID of %d bytes: want 1 to %d printable ASCII characters", len(r.Key), maxWorkerIDBytes)
	}
	return w.term.node.opts.Topics.DecodeWorker(r.Key, r.Value)
}

// validWorkerID reports whether an ID can be used as a key of the log, in messages to agents and in
// headers of orders.
func validWorkerID(id string) bool {
	notPrintable := func(r rune) bool { return r <= ' ' || r > '~' }
	return id != "" && len(id) <= maxWorkerIDBytes && !strings.ContainsFunc(id, notPrintable)
}
