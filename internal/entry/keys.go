package entry

import (
	"context"
	"time"

	"dotterelhitch/internal/dispatch"
	"dotterelhitch/internal/keyhome"
	"dotterelhitch/internal/peer/peerv1"
	"dotterelhitch/internal/structs"
)

// Time-outs and retry limits of the calls about request keys.
const (
	permitTimeout    = 1500 * time.Millisecond
	permitRetryDelay = 50 * time.Millisecond
	maxPermitTries   = 100
	// maxNoAuthorityTries is the number of tries for which a home without authority is
	// asked again even if it asks for a longer delay: a member that leaves gracefully
	// releases its keys soon afterwards.
	maxNoAuthorityTries = 6
	copyTimeout         = 800 * time.Millisecond
	maxCopyTries        = 3
)

// keyAuthority implements keyhome.Rights. It is used on the control goroutine.
type keyAuthority struct {
	c *core
}

// Holds implements keyhome.Rights.
func (r keyAuthority) Holds(now time.Time) bool { return r.c.mayGrant(now) }

// Permit implements dispatch.Keys: it requests a permit for a keyed request from the
// home of the key. Retries carry the same request ID, so the permit is granted only
// once.
func (t *requestService) Permit(ctx context.Context, key, requestID string, fingerprint []byte) (dispatch.Decision, error) {
	req := &peerv1.PermitRequest{Member: t.e.member.ID, Key: key, RequestId: requestID, Fingerprint: fingerprint}
	return t.permitWithRetry(ctx, req)
}

// bind fixes the value of a key at its home and returns the value that was bound first.
// If it fails with a refusal, the key is unchanged.
func (t *requestService) bind(ctx context.Context, key, fingerprint, value string) (string, error) {
	req := &peerv1.PermitRequest{Member: t.e.member.ID, Key: key, Fingerprint: []byte(fingerprint), Value: []byte(value)}
	for {
		d, err := t.permitWithRetry(ctx, req)
		if err == nil {
			return string(d.Answer.Body), nil
		}
		if structs.CodeOf(err) != structs.CodeInProgress || ctx.Err() != nil {
			return "", err
		}
		sleep(ctx, permitRetryDelay)
	}
}

// permitWithRetry sends a permit request to the home of its key, and again while the
// home refuses for a transient reason.
func (t *requestService) permitWithRetry(ctx context.Context, req *peerv1.PermitRequest) (dispatch.Decision, error) {
	var err error
	for try := 0; try < maxPermitTries && ctx.Err() == nil; try++ {
		if try > 0 {
			sleep(ctx, permitRetryDelay)
		}
		var d dispatch.Decision
		if d, err = t.requestPermit(ctx, req); err == nil {
			return d, nil
		}
		releaseExpected := structs.CodeOf(err) == structs.CodeNoAuthority && try < maxNoAuthorityTries
		if !releaseExpected && !isTransient(ctx, err) {
			return d, err
		}
	}
	if err == nil {
		err = structs.NewError(structs.CodeDeadline, "no answer from the key's home in time")
	}
	return dispatch.Decision{}, err
}

// isTransient reports whether a home's refusal may end soon: the table is changing, the
// permits of an older home have yet to expire, or the call was lost.
func isTransient(ctx context.Context, err error) bool {
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

func (t *requestService) requestPermit(ctx context.Context, req *peerv1.PermitRequest) (dispatch.Decision, error) {
	ctx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	start := time.Now()
	home := t.homeOf(req.Key, &req.Epoch)
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
		return dispatch.Decision{Answer: answerFromMessage(resp.Answer)}, nil
	}
	validUntil := start.Add(time.Duration(resp.WithinMs) * time.Millisecond)
	return dispatch.Decision{Granted: true, ValidUntil: validUntil}, nil
}

// homeOf returns the home of a key and stores the epoch of the table that says so.
func (t *requestService) homeOf(key string, epoch *int64) (home structs.Member) {
	t.e.runOnControl(func() {
		home, _ = t.e.core.table.HomeOfKey(key)
		*epoch = t.e.core.table.Epoch()
	})
	return home
}

// Settle implements dispatch.Keys: it sends the outcome of a keyed request to the home
// of the key.
func (t *requestService) Settle(ctx context.Context, key string, fingerprint []byte, a structs.Answer) error {
	ctx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	req := &peerv1.SettleRequest{
		Member:      t.e.member.ID,
		Key:         key,
		RequestId:   a.RequestID,
		Fingerprint: fingerprint,
		Answer:      answerMessage(&a),
	}
	home := t.homeOf(key, &req.Epoch)
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
	ok := s.e.runOnControl(func() { d = s.e.core.permit(r, time.Now()) })
	if !ok {
		return nil, errShuttingDown()
	}
	if d.Kind == keyhome.AwaitCopy {
		d = s.e.replicateIntent(ctx, d.Copy)
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

// transferGrace is how long after a change of the table a home that lacks the older
// permits of a partition answers that it is behind. After that it answers that the
// outcome is unknown.
const transferGrace = 2 * time.Second

func (c *core) permit(r *peerv1.PermitRequest, now time.Time) keyhome.Decision {
	d := c.decideKey(r, now)
	if structs.CodeOf(d.Err) == structs.CodeUnknown && !c.keys.KnowsOlderPermits(r.Key) && now.Sub(c.tableAppliedAt) < transferGrace {
		d.Err = structs.NewError(structs.CodeBehind, "the earlier requests of this key's partition have not been transferred to this member yet")
	}
	return d
}

func (c *core) decideKey(r *peerv1.PermitRequest, now time.Time) keyhome.Decision {
	if r.RequestId == "" {
		return c.keys.Bind(now, r.Key, string(r.Fingerprint), r.Value)
	}
	return c.keys.Permit(now, r.Key, r.RequestId, string(r.Fingerprint))
}

// replicateIntent copies an intent to the backup of its key and returns the decision
// that follows from the result.
func (e *Entry) replicateIntent(ctx context.Context, c *keyhome.KeyCopy) keyhome.Decision {
	err := e.sendKeyCopy(ctx, c)
	var d keyhome.Decision
	ok := e.runOnControl(func() {
		if err != nil {
			d = e.core.keys.CopyFailed(time.Now(), c, err)
			return
		}
		d = e.core.keys.CopyAcked(time.Now(), c)
	})
	if !ok {
		d.Err = errShuttingDown()
	}
	return d
}

func (e *Entry) sendKeyCopy(ctx context.Context, c *keyhome.KeyCopy) error {
	var backup structs.Member
	var found bool
	e.runOnControl(func() { backup, found = e.core.table.Table().Member(c.To) })
	if !found {
		return structs.NewError(structs.CodeUnavailable, "backup %s is not in the membership table", c.To)
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
	ok := s.e.runOnControl(func() {
		c, err = s.e.core.keys.Settle(time.Now(), r.Key, r.RequestId, string(r.Fingerprint), answerFromMessage(r.Answer))
	})
	if !ok {
		return nil, errShuttingDown()
	}
	if c != nil {
		s.e.spawn(func() { s.e.replicateOutcome(c) })
	}
	return &peerv1.SettleResponse{Error: fromError(err)}, nil
}

// replicateOutcome copies an outcome to the backup of its key. If that fails and this
// home is lost, a repeat of the request is told that the outcome is unknown.
func (e *Entry) replicateOutcome(c *keyhome.KeyCopy) {
	for try := 0; try < maxCopyTries && e.ctx.Err() == nil; try++ {
		if e.sendKeyCopy(e.ctx, c) == nil {
			return
		}
		sleep(e.ctx, permitRetryDelay)
	}
}

// CopyKey implements peerv1connect.PeerServiceHandler.
func (s *peerServer) CopyKey(_ context.Context, r *peerv1.CopyKeyRequest) (*peerv1.CopyKeyResponse, error) {
	if r.Entry == nil {
		return &peerv1.CopyKeyResponse{Error: fromError(structs.NewError(structs.CodeInvalid, "copy without an entry"))}, nil
	}
	entry, age := keyEntryFromMessage(r.Entry)
	var err error
	ok := s.e.runOnControl(func() {
		c := &keyhome.KeyCopy{From: r.Member, To: s.e.member.ID, Epoch: r.Epoch, Entry: entry}
		err = s.e.core.keys.ApplyCopy(time.Now(), c, age)
	})
	if !ok {
		return nil, errShuttingDown()
	}
	return &peerv1.CopyKeyResponse{Error: fromError(err)}, nil
}

// transferKeys sends key partitions to the members that may lack them, with at most one
// call in flight to each member.
func (c *core) transferKeys(now time.Time) {
	c.keys.Expire(now)
	for _, t := range c.keys.PendingTransfers(now) {
		if c.transfersInFlight[t.To] {
			continue
		}
		m, ok := c.table.Table().Member(t.To)
		if !ok {
			continue
		}
		c.transfersInFlight[t.To] = true
		req := transferMessage(&t, now)
		c.e.spawn(func() { c.e.sendTransfer(m, t, req) })
	}
}

func (e *Entry) sendTransfer(m structs.Member, t keyhome.Transfer, req *peerv1.TransferKeysRequest) {
	ctx, cancel := context.WithTimeout(e.ctx, permitTimeout)
	defer cancel()
	resp, err := e.pool.Client(m).TransferKeys(ctx, req)
	e.postToControl(func() {
		delete(e.core.transfersInFlight, t.To)
		if err == nil && resp.Error == nil {
			e.core.keys.TransferAcked(t)
			e.core.transferKeys(time.Now())
		}
	})
}

// TransferKeys implements peerv1connect.PeerServiceHandler.
func (s *peerServer) TransferKeys(_ context.Context, r *peerv1.TransferKeysRequest) (*peerv1.TransferKeysResponse, error) {
	t, ages := transferFromMessage(r)
	t.To = s.e.member.ID
	var err error
	ok := s.e.runOnControl(func() {
		err = s.e.core.keys.ApplyTransfer(time.Now(), t, func(part, entry int) time.Duration { return ages[part][entry] })
	})
	if !ok {
		return nil, errShuttingDown()
	}
	return &peerv1.TransferKeysResponse{Error: fromError(err)}, nil
}
