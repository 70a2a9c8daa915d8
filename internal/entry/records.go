package entry

import (
	"context"
	"time"

	"dotterelhitch/internal/journal"
	"dotterelhitch/internal/peer/peerv1"
	"dotterelhitch/internal/platformlog"
	"dotterelhitch/internal/state"
	"dotterelhitch/internal/structs"
)

// Limits of the cached control records that other members may read.
const (
	maxCachedRecords    = 4096
	recordsPollInterval = 20 * time.Millisecond
	maxRecordsWait      = 2 * time.Second
)

// recordCache has the control records that this entry read last, in order. It serves
// members that cannot reach the log or that read it through this one.
type recordCache struct {
	first int64
	list  []platformlog.Record
}

// add adds the records of a page and drops the oldest beyond maxCachedRecords.
func (r *recordCache) add(records []platformlog.Record) {
	for _, rec := range records {
		if len(r.list) > 0 && rec.Offset <= r.list[len(r.list)-1].Offset {
			continue
		}
		if len(r.list) == 0 {
			r.first = rec.Offset
		}
		r.list = append(r.list, rec)
	}
	if extra := len(r.list) - maxCachedRecords; extra > 0 {
		r.list = append([]platformlog.Record(nil), r.list[extra:]...)
		r.first = r.list[0].Offset
	}
}

// from returns up to limit records that begin at an offset. ok is false if records at
// the offset have already been dropped.
func (r *recordCache) from(offset int64, limit int) (list []platformlog.Record, ok bool) {
	if len(r.list) == 0 || offset < r.first {
		return nil, false
	}
	for _, rec := range r.list {
		if rec.Offset >= offset && len(list) < limit {
			list = append(list, rec)
		}
	}
	return list, true
}

// Records implements peerv1connect.PeerServiceHandler.
func (s *peerServer) Records(ctx context.Context, r *peerv1.RecordsRequest) (*peerv1.RecordsResponse, error) {
	deadline := time.Now().Add(min(time.Duration(r.WaitMs)*time.Millisecond, maxRecordsWait))
	for {
		var resp *peerv1.RecordsResponse
		var err error
		if !s.e.runOnControl(func() { resp, err = s.e.core.records(r) }) {
			return nil, errShuttingDown()
		}
		if err != nil || len(resp.Records) > 0 || time.Now().After(deadline) {
			return resp, err
		}
		sleep(ctx, recordsPollInterval)
		if ctx.Err() != nil {
			return resp, nil
		}
	}
}

func (c *core) records(r *peerv1.RecordsRequest) (*peerv1.RecordsResponse, error) {
	if r.Stream != state.ControlStream {
		return nil, structs.NewError(structs.CodeNotFound, "stream %q is not relayed", r.Stream)
	}
	resp := &peerv1.RecordsResponse{
		First: c.recentControl.first,
		Next:  c.control.NextOffset(),
		AgeMs: time.Since(c.controlTailReadAt).Milliseconds() + 1,
	}
	if r.From >= resp.Next {
		return resp, nil
	}
	list, ok := c.recentControl.from(r.From, int(r.Max))
	if !ok {
		return nil, structs.NewError(structs.CodeNotFound, "records from offset %d are no longer cached by this entry", r.From)
	}
	for _, rec := range list {
		resp.Records = append(resp.Records, &peerv1.Record{Offset: rec.Offset, Data: rec.Data})
	}
	return resp, nil
}

// controlSource reads the control stream. In the region of the log it reads from the log
// itself. In other regions it reads through the relay member of its group, so that each
// record crosses the link between regions only once for a group.
type controlSource struct {
	e *Entry
}

// relayTimeout limits a read through the relay, in addition to its wait for records.
const relayTimeout = time.Second

// relayMaxAge is the age of the relay's own last read of the log above which a member
// reads from the log directly.
const relayMaxAge = 1500 * time.Millisecond

// Read implements journal.Source.
func (s controlSource) Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (platformlog.Batch, time.Duration, error) {
	var relay structs.Member
	var ok bool
	s.e.runOnControl(func() { relay, ok = s.e.core.controlRelay() })
	if ok {
		b, age, err := s.readViaRelay(ctx, relay, stream, from, limit, wait)
		if err == nil && age < relayMaxAge {
			return b, age, nil
		}
	}
	return journal.LogSource{Log: s.e.log}.Read(ctx, stream, from, limit, wait)
}

func (s controlSource) readViaRelay(ctx context.Context, relay structs.Member, stream string, from int64, limit int, wait time.Duration) (platformlog.Batch, time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+relayTimeout)
	defer cancel()
	start := time.Now()
	resp, err := s.e.pool.Client(relay).Records(ctx, &peerv1.RecordsRequest{
		Stream: stream,
		From:   from,
		Max:    int32(limit),
		WaitMs: wait.Milliseconds(),
	})
	if err != nil {
		s.e.pool.Reset(relay)
		return platformlog.Batch{}, 0, callError(err)
	}
	return batchFromMessage(resp, from), s.maxAge(resp, start), nil
}

// maxAge returns an upper bound of how long before start the response was current. The
// relay stated its age when it answered, which was after start.
func (s controlSource) maxAge(resp *peerv1.RecordsResponse, start time.Time) time.Duration {
	elapsed := time.Since(start)
	age := time.Duration(resp.AgeMs) * time.Millisecond
	return max(age-elapsed, 0) + elapsed
}

func batchFromMessage(resp *peerv1.RecordsResponse, from int64) platformlog.Batch {
	b := platformlog.Batch{FirstOffset: min(resp.First, from), NextOffset: resp.Next}
	for _, r := range resp.Records {
		b.Records = append(b.Records, platformlog.Record{Offset: r.Offset, Data: r.Data})
	}
	return b
}

// controlRelay returns the member through which this entry reads the control stream. ok
// is false if the entry reads the log itself.
func (c *core) controlRelay() (m structs.Member, ok bool) {
	if !c.joined || c.e.member.Region == c.e.settings.Regions.StoreRegion {
		return structs.Member{}, false
	}
	group, _ := c.table.GroupOfMember(c.self())
	for _, other := range group.Members {
		p := c.peers[other.ID]
		alive := other.ID == c.self() || (p != nil && !p.draining && time.Since(p.lastHeardAt) < c.silenceTimeout(other))
		if alive {
			return other, other.ID != c.self()
		}
	}
	return structs.Member{}, false
}

// fetchRecords reads newer control records from a member that has them, while the log
// itself does not answer. The records are applied, but do not count as a read of the
// log's tail.
func (e *Entry) fetchRecords(m structs.Member) {
	var from int64
	if !e.runOnControl(func() { from = e.core.control.NextOffset() }) {
		return
	}
	ctx, cancel := context.WithTimeout(e.ctx, relayTimeout)
	defer cancel()
	resp, err := e.pool.Client(m).Records(ctx, &peerv1.RecordsRequest{Stream: state.ControlStream, From: from, Max: maxCachedRecords})
	if err != nil {
		return
	}
	page := journal.Page{First: min(resp.First, from), Next: resp.Next, Records: batchFromMessage(resp, from).Records}
	e.runOnControl(func() { e.core.applyControlPage(page) })
}
