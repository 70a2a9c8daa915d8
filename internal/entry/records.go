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

// Bounds of the control records kept for other members.
const (
	recordsKept    = 4096
	recordsPoll    = 20 * time.Millisecond
	recordsMaxWait = 2 * time.Second
)

// recentRecords are the control records that this entry read last, in order, for
// members that can't or need not read the log themselves.
type recentRecords struct {
	first int64
	list  []platformlog.Record
}

// keep adds the records of a page.
func (r *recentRecords) keep(records []platformlog.Record) {
	for _, rec := range records {
		if len(r.list) > 0 && rec.Offset <= r.list[len(r.list)-1].Offset {
			continue
		}
		if len(r.list) == 0 {
			r.first = rec.Offset
		}
		r.list = append(r.list, rec)
	}
	if extra := len(r.list) - recordsKept; extra > 0 {
		r.list = append([]platformlog.Record(nil), r.list[extra:]...)
		r.first = r.list[0].Offset
	}
}

// from returns up to limit records from an offset on; ok is false if some of them
// are not kept any more.
func (r *recentRecords) from(offset int64, limit int) (list []platformlog.Record, ok bool) {
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
	until := time.Now().Add(min(time.Duration(r.WaitMs)*time.Millisecond, recordsMaxWait))
	for {
		var resp *peerv1.RecordsResponse
		var err error
		if !s.e.do(func() { resp, err = s.e.core.records(r) }) {
			return nil, errEnding()
		}
		if err != nil || len(resp.Records) > 0 || time.Now().After(until) {
			return resp, err
		}
		pause(ctx, recordsPoll)
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
		First: c.recent.first,
		Next:  c.control.NextOffset(),
		AgeMs: time.Since(c.controlRead).Milliseconds() + 1,
	}
	if r.From >= resp.Next {
		return resp, nil
	}
	list, ok := c.recent.from(r.From, int(r.Max))
	if !ok {
		return nil, structs.NewError(structs.CodeNotFound, "records from %d are not kept here", r.From)
	}
	for _, rec := range list {
		resp.Records = append(resp.Records, &peerv1.Record{Offset: rec.Offset, Data: rec.Data})
	}
	return resp, nil
}

// controlSource reads the control stream: from the log itself, or in a region
// without the log through the group's relaying member, so that each record
// crosses the link once for a group.
type controlSource struct {
	e *Entry
}

// relayTimeout bounds a relayed read beyond its wait.
const relayTimeout = time.Second

// relayMaxAge is how old a relaying member's own read may be before the log is
// asked directly.
const relayMaxAge = 1500 * time.Millisecond

// Read implements journal.Source.
func (s controlSource) Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (platformlog.Batch, time.Duration, error) {
	var relay structs.Member
	var ok bool
	s.e.do(func() { relay, ok = s.e.core.relay() })
	if ok {
		b, age, err := s.relayed(ctx, relay, stream, from, limit, wait)
		if err == nil && age < relayMaxAge {
			return b, age, nil
		}
	}
	return journal.LogSource{Log: s.e.log}.Read(ctx, stream, from, limit, wait)
}

func (s controlSource) relayed(ctx context.Context, relay structs.Member, stream string, from int64, limit int, wait time.Duration) (platformlog.Batch, time.Duration, error) {
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
	return batchOf(resp, from), s.ageOf(resp, start), nil
}

// ageOf is how long before start the answer was certainly current: the relaying
// member stated its age when it answered, which was after start.
func (s controlSource) ageOf(resp *peerv1.RecordsResponse, start time.Time) time.Duration {
	took := time.Since(start)
	age := time.Duration(resp.AgeMs) * time.Millisecond
	return max(age-took, 0) + took
}

func batchOf(resp *peerv1.RecordsResponse, from int64) platformlog.Batch {
	b := platformlog.Batch{FirstOffset: min(resp.First, from), NextOffset: resp.Next}
	for _, r := range resp.Records {
		b.Records = append(b.Records, platformlog.Record{Offset: r.Offset, Data: r.Data})
	}
	return b
}

// relay returns the member through which this entry reads the control stream; ok
// is false if it reads the log itself.
func (c *core) relay() (m structs.Member, ok bool) {
	if !c.joined || c.e.member.Region == c.e.settings.Regions.StoreRegion {
		return structs.Member{}, false
	}
	group, _ := c.table.GroupOfMember(c.self())
	for _, other := range group.Members {
		p := c.peers[other.ID]
		alive := other.ID == c.self() || (p != nil && !p.draining && time.Since(p.heard) < c.silentAfter(other))
		if alive {
			return other, other.ID != c.self()
		}
	}
	return structs.Member{}, false
}

// fetchRecords reads newer control records from a member that has them, while the
// log itself does not answer. They count as read, but not as a read of the tail.
func (e *Entry) fetchRecords(m structs.Member) {
	var from int64
	if !e.do(func() { from = e.core.control.NextOffset() }) {
		return
	}
	ctx, cancel := context.WithTimeout(e.ctx, relayTimeout)
	defer cancel()
	resp, err := e.pool.Client(m).Records(ctx, &peerv1.RecordsRequest{Stream: state.ControlStream, From: from, Max: recordsKept})
	if err != nil {
		return
	}
	page := journal.Page{First: min(resp.First, from), Next: resp.Next, Records: batchOf(resp, from).Records}
	e.do(func() { e.core.takeControl(page) })
}
