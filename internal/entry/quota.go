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

// Bounds of moves of quotas between groups.
const (
	// askQuotaEvery is the pause between two rounds of asking for one series.
	askQuotaEvery = 250 * time.Millisecond
	// askQuotaMost is the number of groups that a round asks at most.
	askQuotaMost = 8
	moveTimeout  = 2 * time.Second
	// yieldFor is how long freed quota is kept for a group that asked in vain.
	yieldFor = 4 * askQuotaEvery
)

// quotas is what this entry has under way about the quotas of the series that it owns.
type quotas struct {
	// asking are the series for which a round is under way, asked is when the last one
	// began.
	asking map[orchestrator.QuotaKey]bool
	asked  map[orchestrator.QuotaKey]time.Time
	// rounds counts those that could not ask every group.
	rounds int
	// leaving is what a move that may still take effect takes from a series.
	leaving map[orchestrator.QuotaKey]structs.Resources
	// yields are kept for groups that have less than their even part.
	yields map[orchestrator.QuotaKey]yield
	// short is when a series last lacked quota.
	short map[orchestrator.QuotaKey]time.Time
}

// yield is an amount that is not used by the own tasks until a time.
type yield struct {
	amount structs.Resources
	until  time.Time
}

func newQuotas() *quotas {
	return &quotas{
		asking:  map[orchestrator.QuotaKey]bool{},
		asked:   map[orchestrator.QuotaKey]time.Time{},
		leaving: map[orchestrator.QuotaKey]structs.Resources{},
		yields:  map[orchestrator.QuotaKey]yield{},
		short:   map[orchestrator.QuotaKey]time.Time{},
	}
}

// quotaShare returns what the tasks of a series may hold by the word of this entry:
// its group's part of the team's quota, less what is leaving it.
func (c *core) quotaShare(s orchestrator.QuotaKey) (structs.Resources, bool) {
	if s.Team == "" {
		return structs.Resources{}, false
	}
	if _, ok := c.control.Quota(s.Team); !ok {
		return structs.Resources{}, false
	}
	share := c.control.QuotaPart(s.Team, s.Group).Limit.Sub(c.quotas.leaving[s])
	if y := c.quotas.yields[s]; time.Now().Before(y.until) {
		share = share.Sub(y.amount)
	}
	return share, true
}

// firstGroups returns the first group of each region: a new quota is split among them,
// and goes on from there to the groups that need it.
func (c *core) firstGroups() []string {
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

// askQuotas asks other groups for quota that owned series lack.
func (c *core) askQuotas(now time.Time) {
	for s, lack := range c.jobs.QuotaShortages() {
		c.quotas.short[s] = now
		if c.quotas.asking[s] || now.Sub(c.quotas.asked[s]) < askQuotaEvery {
			continue
		}
		sources := c.quotaSources(s)
		if len(sources) == 0 {
			continue
		}
		c.quotas.asking[s] = true
		c.quotas.asked[s] = now
		c.e.spawn(func() {
			c.e.askSources(s, lack, sources)
			c.e.post(func() { delete(c.quotas.asking, s) })
		})
	}
}

// quotaSource is the owner of a series that has a part of a quota.
type quotaSource struct {
	group string
	owner structs.Member
}

// quotaSources are the other groups that have a part of the quota, the largest parts
// first, at most as many as a round asks. The rounds go on where the last one ended,
// as a large part may be in use.
func (c *core) quotaSources(s orchestrator.QuotaKey) []quotaSource {
	parts := c.control.QuotaParts(s.Team)
	parts = slices.DeleteFunc(parts, func(p state.QuotaPart) bool { return p.Group == s.Group })
	slices.SortStableFunc(parts, func(a, b state.QuotaPart) int { return cmp.Compare(b.Limit.CPUMilli, a.Limit.CPUMilli) })
	if len(parts) > askQuotaMost {
		c.quotas.rounds++
		shift := c.quotas.rounds * askQuotaMost % len(parts)
		parts = append(parts[shift:], parts[:shift]...)[:askQuotaMost]
	}
	var out []quotaSource
	for _, p := range parts {
		owner, ok := c.table.OwnerOfJob(structs.NewJobID(p.Group, s.Team, ""))
		if ok {
			out = append(out, quotaSource{group: p.Group, owner: owner})
		}
	}
	return out
}

// askSources asks one source after the other until enough has been moved.
func (e *Entry) askSources(s orchestrator.QuotaKey, lack structs.Resources, sources []quotaSource) {
	for _, source := range sources {
		ctx, cancel := context.WithTimeout(e.ctx, moveTimeout)
		resp, err := e.peerOf(source.owner).MoveQuota(ctx, &peerv1.MoveQuotaRequest{
			Team: s.Team,
			From: source.group,
			To:   s.Group,
			Want: fromResources(lack),
		})
		cancel()
		if err != nil || resp.Error != nil {
			continue
		}
		lack = lack.Sub(toResources(resp.Moved)).ClampNegative()
		if lack.IsZero() {
			return
		}
	}
}

// MoveQuota implements peerv1connect.PeerServiceHandler.
func (s *peerServer) MoveQuota(ctx context.Context, r *peerv1.MoveQuotaRequest) (*peerv1.MoveQuotaResponse, error) {
	from := orchestrator.QuotaKey{Group: r.From, Team: r.Team}
	var change *state.Change
	var err error
	ok := s.e.do(func() { change, err = s.e.core.moveQuota(from, r.To, toResources(r.Want), time.Now()) })
	switch {
	case !ok:
		return nil, errEnding()
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

// moveQuota decides what an owned series gives to another group and takes it out of
// its share; nil for nothing. What it lacks itself it keeps up to an even part.
func (c *core) moveQuota(from orchestrator.QuotaKey, to string, want structs.Resources, now time.Time) (*state.Change, error) {
	if owner, ok := c.table.OwnerOfJob(structs.NewJobID(from.Group, from.Team, "")); !ok || owner.ID != c.self() {
		return nil, structs.NewError(structs.CodeNotOwner, "the quota of %s at group %s is not decided here", from.Team, from.Group)
	}
	part := c.control.QuotaPart(from.Team, from.Group)
	if _, busy := c.quotas.leaving[from]; busy || want.HasNegative() {
		return nil, nil
	}
	room := part.Limit
	if now.Sub(c.quotas.short[from]) < yieldFor {
		room = c.aboveEven(from, to)
		c.quotas.yields[from] = yield{amount: want.Min(room).ClampNegative(), until: now.Add(yieldFor)}
	}
	spare := part.Limit.Sub(c.jobs.QuotaUsage(from))
	amount := want.Min(room).Min(spare).ClampNegative()
	if amount.IsZero() {
		return nil, nil
	}
	c.quotas.leaving[from] = amount
	delete(c.quotas.yields, from)
	return &state.Change{
		ID:    uuid.NewString(),
		Type:  state.QuotaMove,
		Base:  part.Version,
		Epoch: c.table.Epoch(),
		Move:  &structs.QuotaMove{Team: from.Team, From: from.Group, To: to, Amount: amount},
	}, nil
}

// aboveEven returns what may be moved between two groups that both lack quota: what the
// first has above an even part, as far as the second has less than that.
func (c *core) aboveEven(from orchestrator.QuotaKey, to string) structs.Resources {
	quota, _ := c.control.Quota(from.Team)
	even := quota.Limit.DividedBy(int64(max(len(c.table.Groups()), 1)))
	above := c.control.QuotaPart(from.Team, from.Group).Limit.Sub(even)
	below := even.Sub(c.control.QuotaPart(from.Team, to).Limit)
	return above.Min(below).ClampNegative()
}

// commitMove appends a move until it is known whether it took effect, which it
// returns.
func (e *Entry) commitMove(from orchestrator.QuotaKey, change state.Change) bool {
	for e.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(e.ctx, changeTimeout)
		r, err := e.commitControl(ctx, change)
		cancel()
		if err != nil {
			pause(e.ctx, askQuotaEvery)
			continue
		}
		e.post(func() { delete(e.core.quotas.leaving, from) })
		return r.Accepted
	}
	return false
}
