package entry

import (
	"context"
	"time"

	"dotterelhitch/internal/peer/peerv1"
	"dotterelhitch/internal/state"
	"dotterelhitch/internal/structs"
)

// forwardTimeout is how long a member waits for the group's appender, in addition to the
// appender's linger time. After that it appends by itself.
const forwardTimeout = 500 * time.Millisecond

// Submit queues a change for the stream. The group's appender appends it; if that is
// this entry, its own committer does.
func (s *jobStream) Submit(ctx context.Context, ch state.Change) error {
	if s.appender.Load() == nil {
		return s.committer.Submit(ctx, ch)
	}
	return s.forwarder.Submit(ctx, ch)
}

// chooseAppenders sets the appender of each open stream.
func (c *core) chooseAppenders(now time.Time) {
	for group, s := range c.streams {
		s.appender.Store(c.appenderOf(group, now))
	}
}

// appenderOf returns the member that appends to a group's stream on behalf of this
// entry: the first of the group's appenders that is responsive. It returns nil if this
// entry appends by itself.
func (c *core) appenderOf(group string, now time.Time) *structs.Member {
	for _, m := range c.table.StreamAppenders(group) {
		if m.ID == c.self() {
			return nil
		}
		p := c.peers[m.ID]
		silent := c.silenceTimeout(m)
		if p != nil && p.heardDirectly() && !p.draining && now.Sub(p.lastHeardAt) < silent && now.Sub(p.appendFailedAt) >= silent {
			return &m
		}
	}
	return nil
}

// forwardAppend implements journal.ForwardFunc for a stream. It sends the changes to the
// appender; forwarded is false if there is none.
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
		e.postToControl(func() { e.core.appendFailed(m.ID, time.Now()) })
	}
	return true, err
}

// appendFailed makes chooseAppenders skip a member that failed to append, for as long as
// a silent member is skipped.
func (c *core) appendFailed(id string, now time.Time) {
	if p := c.peers[id]; p != nil {
		p.appendFailedAt = now
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
	if !s.e.runOnControl(func() { stream, err = s.e.core.streamFor(r) }) {
		return nil, errShuttingDown()
	}
	if err == nil {
		err = stream.committer.Commit(ctx, changes)
	}
	return &peerv1.AppendResponse{Error: fromError(err)}, nil
}

// streamFor returns the stream to which another member asks this one to append.
func (c *core) streamFor(r *peerv1.AppendRequest) (*jobStream, error) {
	if err := c.checkMember(r.Member, 0); err != nil {
		return nil, err
	}
	s := c.streams[r.Group]
	if s == nil {
		return nil, structs.NewError(structs.CodeBehind, "this entry does not read the jobs stream of group %q", r.Group)
	}
	return s, nil
}
