package entry

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/google/uuid"

	"dotterelhitch/internal/orchestrator"
	"dotterelhitch/internal/peer/peerv1"
	"dotterelhitch/internal/state"
	"dotterelhitch/internal/structs"
)

// Limits and intervals of the moves of quota between groups.
const (
	// quotaRequestInterval is the minimum time between two rounds of requests for one
	// quota key.
	quotaRequestInterval = 250 * time.Millisecond
	// maxQuotaSources is the number of groups asked in one round.
	maxQuotaSources  = 8
	quotaMoveTimeout = 2 * time.Second
	// quotaReserveDuration is how long quota that becomes free is reserved for a group
	// whose request could not be met.
	quotaReserveDuration = 4 * quotaRequestInterval
)

// quotaState is the state of quota moves for the quota keys that this entry owns.
type quotaState struct {
	// requestInFlight holds the keys for which a round of requests is in flight;
	// lastRequestAt is when the last one began.
	requestInFlight map[orchestrator.QuotaKey]bool
	lastRequestAt   map[orchestrator.QuotaKey]time.Time
	// partialRounds counts the rounds that did not ask every group.
	partialRounds int
	// outgoing is the amount that a move away from a key takes while the move may still
	// take effect.
	outgoing map[orchestrator.QuotaKey]structs.Resources
	// reserves are held for groups that have less than an even share.
	reserves map[orchestrator.QuotaKey]quotaReserve
	// lastShortAt is when the tasks of a key last lacked quota.
	lastShortAt map[orchestrator.QuotaKey]time.Time
}

// quotaReserve is an amount that the entry's own tasks do not use until the given time.
type quotaReserve struct {
	amount structs.Resources
	until  time.Time
}

func newQuotaState() *quotaState {
	return &quotaState{
		requestInFlight: map[orchestrator.QuotaKey]bool{},
		lastRequestAt:   map[orchestrator.QuotaKey]time.Time{},
		outgoing:        map[orchestrator.QuotaKey]structs.Resources{},
		reserves:        map[orchestrator.QuotaKey]quotaReserve{},
		lastShortAt:     map[orchestrator.QuotaKey]time.Time{},
	}
}

// quotaShare returns the resources that the tasks of a quota key may use: its group's
// part of the team's quota, less the amounts that are reserved for other groups or being
// moved to them. It returns false if no quota applies.
func (c *core) quotaShare(key orchestrator.QuotaKey) (structs.Resources, bool) {
	if key.Team == "" {
		return structs.Resources{}, false
	}
	if _, ok := c.control.Quota(key.Team); !ok {
		return structs.Resources{}, false
	}
	share := c.control.QuotaPart(key.Team, key.Group).Limit.Sub(c.quotas.outgoing[key])
	if reserve := c.quotas.reserves[key]; time.Now().Before(reserve.until) {
		share = share.Sub(reserve.amount)
	}
	return share, true
}

// firstGroupPerRegion returns the first group of each region. A new quota is split among
// them and then moves to the groups that need it.
func (c *core) firstGroupPerRegion() []string {
	var names []string
	seen := map[string]bool{}
	for _, g := range c.table.Groups() {
		if region := g.Members[0].Region; !seen[region] {
			seen[region] = true
			names = append(names, g.Name)
		}
	}
	return names
}

// requestMissingQuota asks other groups for the quota that owned quota keys lack.
func (c *core) requestMissingQuota(now time.Time) {
	for key, missing := range c.jobs.QuotaShortages() {
		c.quotas.lastShortAt[key] = now
		if c.quotas.requestInFlight[key] || now.Sub(c.quotas.lastRequestAt[key]) < quotaRequestInterval {
			continue
		}
		sources := c.quotaSources(key)
		if len(sources) == 0 {
			continue
		}
		c.quotas.requestInFlight[key] = true
		c.quotas.lastRequestAt[key] = now
		c.e.spawn(func() {
			c.e.requestFromSources(key, missing, sources)
			c.e.postToControl(func() { delete(c.quotas.requestInFlight, key) })
		})
	}
}

// quotaSource is a group that has a part of a quota, and the member that owns the part.
type quotaSource struct {
	group string
	owner structs.Member
}

// quotaSources returns the other groups that have a part of a quota, the largest parts
// first, but at most maxQuotaSources. Successive rounds continue where the last one
// ended, because all of a large part may be in use.
func (c *core) quotaSources(key orchestrator.QuotaKey) []quotaSource {
	parts := c.control.QuotaParts(key.Team)
	parts = slices.DeleteFunc(parts, func(p state.QuotaPart) bool { return p.Group == key.Group })
	slices.SortStableFunc(parts, func(a, b state.QuotaPart) int { return cmp.Compare(b.Limit.CPUMilli, a.Limit.CPUMilli) })
	if len(parts) > maxQuotaSources {
		c.quotas.partialRounds++
		shift := c.quotas.partialRounds * maxQuotaSources % len(parts)
		parts = append(parts[shift:], parts[:shift]...)[:maxQuotaSources]
	}
	var out []quotaSource
	for _, p := range parts {
		owner, ok := c.table.OwnerOfJob(structs.NewJobID(p.Group, key.Team, ""))
		if ok {
			out = append(out, quotaSource{group: p.Group, owner: owner})
		}
	}
	return out
}

// requestFromSources asks the sources one after the other until enough quota has been
// moved.
func (e *Entry) requestFromSources(key orchestrator.QuotaKey, missing structs.Resources, sources []quotaSource) {
	for _, source := range sources {
		ctx, cancel := context.WithTimeout(e.ctx, quotaMoveTimeout)
		resp, err := e.peerClientFor(source.owner).MoveQuota(ctx, &peerv1.MoveQuotaRequest{
			Team: key.Team,
			From: source.group,
			To:   key.Group,
			Want: fromResources(missing),
		})
		cancel()
		if err != nil || resp.Error != nil {
			continue
		}
		missing = missing.Sub(toResources(resp.Moved)).ClampNegative()
		if missing.IsZero() {
			return
		}
	}
}

// MoveQuota implements peerv1connect.PeerServiceHandler.
func (s *peerServer) MoveQuota(ctx context.Context, r *peerv1.MoveQuotaRequest) (*peerv1.MoveQuotaResponse, error) {
	from := orchestrator.QuotaKey{Group: r.From, Team: r.Team}
	var change *state.Change
	var err error
	ok := s.e.runOnControl(func() { change, err = s.e.core.moveQuota(from, r.To, toResources(r.Want), time.Now()) })
	switch {
	case !ok:
		return nil, errShuttingDown()
	case err != nil:
		return &peerv1.MoveQuotaResponse{Error: fromError(err)}, nil
	case change == nil:
		return &peerv1.MoveQuotaResponse{}, nil
	}
	done := make(chan bool, 1)
	s.e.spawn(func() { done <- s.e.commitMove(from, *change) })
	resp := &peerv1.MoveQuotaResponse{}
	select {
	case moved := <-done:
		if moved {
			resp.Moved = fromResources(change.Move.Amount)
		}
	case <-ctx.Done():
	}
	return resp, nil
}

// moveQuota decides how much quota an owned key gives to another group, and subtracts
// the amount from its share. It returns nil if there is nothing to give. If the key
// itself lacks quota, it gives only what it has above an even share.
func (c *core) moveQuota(from orchestrator.QuotaKey, to string, want structs.Resources, now time.Time) (*state.Change, error) {
	if owner, ok := c.table.OwnerOfJob(structs.NewJobID(from.Group, from.Team, "")); !ok || owner.ID != c.self() {
		return nil, structs.NewError(structs.CodeNotOwner, "this entry does not own the quota of team %s in group %s", from.Team, from.Group)
	}
	part := c.control.QuotaPart(from.Team, from.Group)
	if _, moveInFlight := c.quotas.outgoing[from]; moveInFlight || want.HasNegative() {
		return nil, nil
	}
	movable := part.Limit
	if now.Sub(c.quotas.lastShortAt[from]) < quotaReserveDuration {
		movable = c.movableAboveEvenShare(from, to)
		c.quotas.reserves[from] = quotaReserve{amount: want.Min(movable).ClampNegative(), until: now.Add(quotaReserveDuration)}
	}
	unused := part.Limit.Sub(c.jobs.QuotaUsage(from))
	amount := want.Min(movable).Min(unused).ClampNegative()
	if amount.IsZero() {
		return nil, nil
	}
	c.quotas.outgoing[from] = amount
	delete(c.quotas.reserves, from)
	return &state.Change{
		ID:    uuid.NewString(),
		Type:  state.QuotaMove,
		Base:  part.Version,
		Epoch: c.table.Epoch(),
		Move:  &structs.QuotaMove{Team: from.Team, From: from.Group, To: to, Amount: amount},
	}, nil
}

// movableAboveEvenShare returns the amount that may move between two groups that both
// lack quota: what the first has above an even share, but at most what the second has
// below it.
func (c *core) movableAboveEvenShare(from orchestrator.QuotaKey, to string) structs.Resources {
	quota, _ := c.control.Quota(from.Team)
	evenShare := quota.Limit.DividedBy(int64(max(len(c.table.Groups()), 1)))
	above := c.control.QuotaPart(from.Team, from.Group).Limit.Sub(evenShare)
	below := evenShare.Sub(c.control.QuotaPart(from.Team, to).Limit)
	return above.Min(below).ClampNegative()
}

// commitMove repeats appending a move until its result is known, and returns whether it
// took effect.
func (e *Entry) commitMove(from orchestrator.QuotaKey, change state.Change) bool {
	for e.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(e.ctx, changeTimeout)
		r, err := e.commitControl(ctx, change)
		cancel()
		if err != nil {
			sleep(e.ctx, quotaRequestInterval)
			continue
		}
		e.postToControl(func() { delete(e.core.quotas.outgoing, from) })
		return r.Accepted
	}
	return false
}
