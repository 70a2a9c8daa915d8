package entry

import (
	"context"
	"time"

	"dotterelhitch/internal/dispatch"
	"dotterelhitch/internal/keyhome"
	"dotterelhitch/internal/peer/peerv1"
	"dotterelhitch/internal/structs"
)

// Bounds of the calls about request keys.
const (
	permitTimeout = 1500 * time.Millisecond
	permitRetry   = 50 * time.Millisecond
	permitTries   = 100
	// briefTries is how often a home without authority is asked again although it
	// names a longer time: a member that leaves gracefully releases its keys soon
	// after.
	briefTries  = 6
	copyTimeout = 800 * time.Millisecond
	copyTries   = 3
)

// keyRights implements keyhome.Rights on the control goroutine.
type keyRights struct {
	c *core
}

// Holds implements keyhome.Rights.
func (r keyRights) Holds(now time.Time) bool { return r.c.mayGrant(now) }

// Permit implements dispatch.Keys: it asks the home of the key, again while the
// home is only not ready. A repeat bears the same request ID, so that it is
// granted once.
func (t *traffic) Permit(ctx context.Context, key, requestID string, fingerprint []byte) (dispatch.Decision, error) {
	req := &peerv1.PermitRequest{Member: t.e.member.ID, Key: key, RequestId: requestID, Fingerprint: fingerprint}
	return t.askHome(ctx, req)
}

// bind fixes the value of a key at its home and returns the first value that was
// bound. A refusal leaves the key as it was.
func (t *traffic) bind(ctx context.Context, key, fingerprint, value string) (string, error) {
	req := &peerv1.PermitRequest{Member: t.e.member.ID, Key: key, Fingerprint: []byte(fingerprint), Value: []byte(value)}
	for {
		d, err := t.askHome(ctx, req)
		if err == nil {
			return string(d.Answer.Body), nil
		}
		if structs.CodeOf(err) != structs.CodeInProgress || ctx.Err() != nil {
			return "", err
		}
		pause(ctx, permitRetry)
	}
}

// askHome asks the home of a key, again while the home is only not ready.
func (t *traffic) askHome(ctx context.Context, req *peerv1.PermitRequest) (dispatch.Decision, error) {
	var err error
	for try := 0; try < permitTries && ctx.Err() == nil; try++ {
		if try > 0 {
			pause(ctx, permitRetry)
		}
		var d dispatch.Decision
		if d, err = t.permitOnce(ctx, req); err == nil {
			return d, nil
		}
		brief := structs.CodeOf(err) == structs.CodeNoAuthority && try < briefTries
		if !brief && !passing(ctx, err) {
			return d, err
		}
	}
	if err == nil {
		err = structs.NewError(structs.CodeDeadline, "no answer from the key's home in time")
	}
	return dispatch.Decision{}, err
}

// passing reports whether a home's refusal may be over soon: the table is changing,
// an older home has still to lapse, or the call was lost.
func passing(ctx context.Context, err error) bool {
	switch structs.CodeOf(err) {
	case structs.CodeNotOwner, structs.CodeBehind, structs.CodeStaleEpoch,
		structs.CodeUnavailable, structs.CodeDraining, structs.CodeDeadline:
		return true
	case structs.CodeNoAuthority:
		deadline, ok := ctx.Deadline()
		retry := time.Duration(structs.AsError(err).RetryAfterMs) * time.Millisecond
		return !ok || time.Until(deadline) > retry
	}
	return false
}

func (t *traffic) permitOnce(ctx context.Context, req *peerv1.PermitRequest) (dispatch.Decision, error) {
	ctx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	start := time.Now()
	home := t.home(req.Key, &req.Epoch)
	var resp *peerv1.PermitResponse
	var err error
	if home.ID == t.e.member.ID {
		resp, err = (&peerServer{e: t.e}).Permit(ctx, req)
	} else {
		resp, err = t.e.pool.Client(home).Permit(ctx, req)
	}
	if err != nil {
		t.e.pool.Reset(home)
		return dispatch.Decision{}, structs.NewError(structs.CodeUnavailable, "home of the key: %v", err)
	}
	if resp.Error != nil {
		return dispatch.Decision{}, toError(resp.Error)
	}
	if !resp.Granted {
		return dispatch.Decision{Answer: answerOf(resp.Answer)}, nil
	}
	until := start.Add(time.Duration(resp.WithinMs) * time.Millisecond)
	return dispatch.Decision{Granted: true, ValidUntil: until}, nil
}

// home returns the home of a key and sets the epoch at which it is that.
func (t *traffic) home(key string, epoch *int64) (home structs.Member) {
	t.e.do(func() {
		home, _ = t.e.core.table.HomeOfKey(key)
		*epoch = t.e.core.table.Epoch()
	})
	return home
}

// Settle implements dispatch.Keys.
func (t *traffic) Settle(ctx context.Context, key string, fingerprint []byte, a structs.Answer) error {
	ctx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	req := &peerv1.SettleRequest{
		Member:      t.e.member.ID,
		Key:         key,
		RequestId:   a.RequestID,
		Fingerprint: fingerprint,
		Answer:      answerMessage(&a),
	}
	home := t.home(key, &req.Epoch)
	var resp *peerv1.SettleResponse
	var err error
	if home.ID == t.e.member.ID {
		resp, err = (&peerServer{e: t.e}).Settle(ctx, req)
	} else {
		resp, err = t.e.pool.Client(home).Settle(ctx, req)
	}
	if err != nil {
		return callError(err)
	}
	return toError(resp.Error)
}

// Permit implements peerv1connect.PeerServiceHandler.
func (s *peerServer) Permit(ctx context.Context, r *peerv1.PermitRequest) (*peerv1.PermitResponse, error) {
	var d keyhome.Decision
	ok := s.e.do(func() { d = s.e.core.permit(r, time.Now()) })
	if !ok {
		return nil, errEnding()
	}
	if d.Kind == keyhome.AwaitCopy {
		d = s.e.copyIntent(ctx, d.Copy)
	}
	resp := &peerv1.PermitResponse{}
	switch d.Kind {
	case keyhome.Granted:
		resp.Granted = true
		resp.WithinMs = d.ValidFor.Milliseconds()
	case keyhome.Replay:
		resp.Answer = answerMessage(d.Answer)
	default:
		resp.Error = fromError(d.Err)
	}
	return resp, nil
}

// transferGrace is how long after a change of the table a home may wait to be told
// of older permits before it says that it does not know them.
const transferGrace = 2 * time.Second

func (c *core) permit(r *peerv1.PermitRequest, now time.Time) keyhome.Decision {
	d := c.decideKey(r, now)
	if structs.CodeOf(d.Err) == structs.CodeUnknown && !c.keys.KnowsOlderPermits(r.Key) && now.Sub(c.tableSince) < transferGrace {
		d.Err = structs.NewError(structs.CodeBehind, "older requests with keys like this one have still to be told")
	}
	return d
}

func (c *core) decideKey(r *peerv1.PermitRequest, now time.Time) keyhome.Decision {
	if r.RequestId == "" {
		return c.keys.Bind(now, r.Key, string(r.Fingerprint), r.Value)
	}
	return c.keys.Permit(now, r.Key, r.RequestId, string(r.Fingerprint))
}

// copyIntent writes an intent to the key's backup and then asks for the decision.
func (e *Entry) copyIntent(ctx context.Context, c *keyhome.KeyCopy) keyhome.Decision {
	err := e.sendCopy(ctx, c)
	var d keyhome.Decision
	ok := e.do(func() {
		if err != nil {
			d = e.core.keys.CopyFailed(time.Now(), c, err)
			return
		}
		d = e.core.keys.CopyAcked(time.Now(), c)
	})
	if !ok {
		d.Err = errEnding()
	}
	return d
}

func (e *Entry) sendCopy(ctx context.Context, c *keyhome.KeyCopy) error {
	var backup structs.Member
	var found bool
	e.do(func() { backup, found = e.core.table.Table().Member(c.To) })
	if !found {
		return structs.NewError(structs.CodeUnavailable, "backup %s has left", c.To)
	}
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	req := &peerv1.CopyKeyRequest{Member: c.From, Epoch: c.Epoch, Entry: keyMessage(&c.Entry, time.Now())}
	resp, err := e.pool.Client(backup).CopyKey(ctx, req)
	if err != nil {
		e.pool.Reset(backup)
		return callError(err)
	}
	return toError(resp.Error)
}

// Settle implements peerv1connect.PeerServiceHandler.
func (s *peerServer) Settle(_ context.Context, r *peerv1.SettleRequest) (*peerv1.SettleResponse, error) {
	var c *keyhome.KeyCopy
	var err error
	ok := s.e.do(func() {
		c, err = s.e.core.keys.Settle(time.Now(), r.Key, r.RequestId, string(r.Fingerprint), answerOf(r.Answer))
	})
	if !ok {
		return nil, errEnding()
	}
	if c != nil {
		s.e.spawn(func() { s.e.copySettled(c) })
	}
	return &peerv1.SettleResponse{Error: fromError(err)}, nil
}

// copySettled copies an outcome to the backup. If that fails, a repeat after the
// loss of this home is told that the outcome is not known.
func (e *Entry) copySettled(c *keyhome.KeyCopy) {
	for try := 0; try < copyTries && e.ctx.Err() == nil; try++ {
		if e.sendCopy(e.ctx, c) == nil {
			return
		}
		pause(e.ctx, permitRetry)
	}
}

// CopyKey implements peerv1connect.PeerServiceHandler.
func (s *peerServer) CopyKey(_ context.Context, r *peerv1.CopyKeyRequest) (*peerv1.CopyKeyResponse, error) {
	if r.Entry == nil {
		return &peerv1.CopyKeyResponse{Error: fromError(structs.NewError(structs.CodeInvalid, "copy without an entry"))}, nil
	}
	entry, age := keyEntry(r.Entry)
	var err error
	ok := s.e.do(func() {
		c := &keyhome.KeyCopy{From: r.Member, To: s.e.member.ID, Epoch: r.Epoch, Entry: entry}
		err = s.e.core.keys.ApplyCopy(time.Now(), c, age)
	})
	if !ok {
		return nil, errEnding()
	}
	return &peerv1.CopyKeyResponse{Error: fromError(err)}, nil
}

// transferKeys hands partitions to members that may not know them, one call at a
// time to each.
func (c *core) transferKeys(now time.Time) {
	c.keys.Expire(now)
	for _, t := range c.keys.PendingTransfers(now) {
		if c.transferring[t.To] {
			continue
		}
		m, ok := c.table.Table().Member(t.To)
		if !ok {
			continue
		}
		c.transferring[t.To] = true
		req := transferMessage(&t, now)
		c.e.spawn(func() { c.e.sendTransfer(m, t, req) })
	}
}

func (e *Entry) sendTransfer(m structs.Member, t keyhome.Transfer, req *peerv1.TransferKeysRequest) {
	ctx, cancel := context.WithTimeout(e.ctx, permitTimeout)
	defer cancel()
	resp, err := e.pool.Client(m).TransferKeys(ctx, req)
	e.post(func() {
		delete(e.core.transferring, t.To)
		if err == nil && resp.Error == nil {
			e.core.keys.TransferAcked(t)
			e.core.transferKeys(time.Now())
		}
	})
}

// TransferKeys implements peerv1connect.PeerServiceHandler.
func (s *peerServer) TransferKeys(_ context.Context, r *peerv1.TransferKeysRequest) (*peerv1.TransferKeysResponse, error) {
	t, ages := transferOf(r)
	t.To = s.e.member.ID
	var err error
	ok := s.e.do(func() {
		err = s.e.core.keys.ApplyTransfer(time.Now(), t, func(part, entry int) time.Duration { return ages[part][entry] })
	})
	if !ok {
		return nil, errEnding()
	}
	return &peerv1.TransferKeysResponse{Error: fromError(err)}, nil
}
