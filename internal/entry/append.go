package entry

import (
	"context"
	"time"

	"dotterelhitch/internal/peer/peerv1"
	"dotterelhitch/internal/state"
	"dotterelhitch/internal/structs"
)

// forwardTimeout bounds the wait for the group's appender, beyond the linger of its
// append. After it this entry appends by itself.
const forwardTimeout = 500 * time.Millisecond

// Submit queues a change for the stream: with the group's appender, or with this
// entry's own committer if it is the appender.
func (s *jobStream) Submit(ctx context.Context, ch state.Change) error {
	if s.appender.Load() == nil {
		return s.committer.Submit(ctx, ch)
	}
	return s.forwarder.Submit(ctx, ch)
}

// chooseAppenders names the appender of each held stream.
func (c *core) chooseAppenders(now time.Time) {
	for group, s := range c.streams {
		s.appender.Store(c.appenderOf(group, now))
	}
}

// appenderOf returns the member that appends to a group's stream for this one: the
// first in order that answers, nil for this one.
func (c *core) appenderOf(group string, now time.Time) *structs.Member {
	for _, m := range c.table.StreamAppenders(group) {
		if m.ID == c.self() {
			return nil
		}
		p := c.peers[m.ID]
		silent := c.silentAfter(m)
		if p != nil && p.direct() && !p.draining && now.Sub(p.heard) < silent && now.Sub(p.appendMissed) >= silent {
			return &m
		}
	}
	return nil
}

// forwardAppend implements journal.ForwardFunc for a stream.
func (e *Entry) forwardAppend(ctx context.Context, s *jobStream, data []byte) (forwarded bool, err error) {
	m := s.appender.Load()
	if m == nil {
		return false, nil
	}
	ctx, cancel := context.WithTimeout(ctx, e.forwardTimeout+e.timing.AppendLinger)
	defer cancel()
	resp, err := e.pool.Client(*m).Append(ctx, &peerv1.AppendRequest{Member: e.member.ID, Group: s.group, Data: data})
	if err == nil {
		err = toError(resp.Error)
	}
	if err != nil {
		e.post(func() { e.core.appendMissed(m.ID, time.Now()) })
	}
	return true, err
}

// appendMissed passes over a member that did not append, for as long as a silent
// member is passed over.
func (c *core) appendMissed(id string, now time.Time) {
	if p := c.peers[id]; p != nil {
		p.appendMissed = now
	}
	c.chooseAppenders(now)
}

// Append implements peerv1connect.PeerServiceHandler.
func (s *peerServer) Append(ctx context.Context, r *peerv1.AppendRequest) (*peerv1.AppendResponse, error) {
	changes, err := state.Decode(r.Data)
	if err != nil {
		return &peerv1.AppendResponse{Error: fromError(err)}, nil
	}
	var stream *jobStream
	if !s.e.do(func() { stream, err = s.e.core.streamFor(r) }) {
		return nil, errEnding()
	}
	if err == nil {
		err = stream.committer.Commit(ctx, changes)
	}
	return &peerv1.AppendResponse{Error: fromError(err)}, nil
}

// streamFor returns the stream to which a member asks this one to append.
func (c *core) streamFor(r *peerv1.AppendRequest) (*jobStream, error) {
	if err := c.checkCaller(r.Member, 0); err != nil {
		return nil, err
	}
	s := c.streams[r.Group]
	if s == nil {
		return nil, structs.NewError(structs.CodeBehind, "the jobs of group %q are not read here", r.Group)
	}
	return s, nil
}
