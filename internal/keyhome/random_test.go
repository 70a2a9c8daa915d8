package keyhome

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"dotterelhitch/internal/authority"
	"dotterelhitch/internal/ownership"
	"dotterelhitch/internal/structs"
)

// The simulation runs members, callers and a network in virtual time from a seed.
// Members join, crash, are removed while alive, pause, and read tables late; messages
// are reordered, duplicated or lost. The rights are those of package authority. The
// simulation fails if a request ran within the retention of another one with the same
// key, or if a key was bound to two values.

const (
	simSteps   = 5000
	simKeys    = 30
	simMembers = 5
	// bindPrefix is the prefix of keys that are bound to a value instead of permitted.
	bindPrefix = "bind-"
)

// simSeeds is the number of simulation runs.
var simSeeds = flag.Int("sim-seeds", 30, "number of seeded runs of the simulation")

// brokenRule is a rule that a run breaks on purpose, to show that the simulation
// detects it.
type brokenRule int

const (
	noBrokenRule brokenRule = iota
	ackWithoutCopy
	joinersAreComplete
	transfersAreEmpty
	newerBackupAcks
)

type simMember struct {
	id       string
	store    *Store
	auth     *authority.Authority
	attester *authority.Attester
	// tablesRead is the number of tables that the member has read.
	tablesRead   int
	dead         bool
	stoppedUntil time.Time // end of a pause
}

func (m *simMember) Holds(now time.Time) bool   { return m.auth.Holds(now) }
func (m *simMember) stopped(now time.Time) bool { return m.dead || now.Before(m.stoppedUntil) }
func (m *simMember) home(key string) (structs.Member, bool) {
	if m.store.Epoch() == 0 {
		return structs.Member{}, false
	}
	return structs.Member{ID: m.store.currentTable().holders[ownership.PartitionOf(key)].home}, true
}

// simRun is a run of a request, with the time at which its permit was requested. The
// key is remembered from that time at least.
type simRun struct {
	request     string
	requestedAt time.Time
}

// binding holds when the caller of a bound value asked for it, and when an answer first
// returned it.
type binding struct{ requestedAt, firstSeenAt time.Time }

type sim struct {
	rng         *rand.Rand
	broken      brokenRule
	now         time.Time
	limits      Limits
	cfg         authority.Config
	tables      []ownership.Table
	maps        []*ownership.Map
	members     map[string]*simMember
	order       []string
	network     []func()
	runs        map[string][]simRun
	requestedAt map[string]time.Time
	// boundValues holds the values returned for each bound key.
	boundValues map[string]map[string]binding

	lastID                   int
	grants, replays, unknown int
	bindings                 int
	failure                  string
}

func newSim(seed uint64, broken brokenRule) *sim {
	cfg := authority.Config{AuthorityValidity: 2 * time.Second, ClockMargin: 500 * time.Millisecond}
	s := &sim{
		rng: rand.New(rand.NewPCG(seed, 1)), broken: broken, now: origin, cfg: cfg,
		members: make(map[string]*simMember), runs: make(map[string][]simRun), boundValues: make(map[string]map[string]binding), requestedAt: make(map[string]time.Time),
		limits: Limits{
			MaxEntries: 1000, MaxBytes: 1 << 20, MaxAnswerBytes: 100, Retention: 40 * time.Second,
			DispatchWindow: time.Second, MaxRunTime: 4 * time.Second, AuthorityBound: cfg.AuthorityValidity + cfg.ClockMargin,
		},
	}
	var first ownership.Table
	for range 3 {
		first.Members = append(first.Members, structs.Member{ID: s.startMember(), Region: "r"})
	}
	s.addTable(first.Members)
	return s
}

func (s *sim) startMember() string {
	s.lastID++
	m := &simMember{id: fmt.Sprintf("m%d", s.lastID), attester: authority.NewAttester(s.cfg, s.now)}
	m.store = NewStore(m.id, s.limits, m)
	m.auth = authority.New(s.cfg, m.id, m.attester)
	if len(s.tables) > 0 {
		m.tablesRead = len(s.tables) - 1
	}
	s.members[m.id] = m
	s.order = append(s.order, m.id)
	return m.id
}

func (s *sim) addTable(members []structs.Member) {
	t := ownership.Table{Epoch: int64(len(s.tables) + 1), Members: members}
	s.tables = append(s.tables, t)
	s.maps = append(s.maps, ownership.NewMap(t))
}

func (s *sim) table() ownership.Table { return s.tables[len(s.tables)-1] }

// pickRunning returns a random running member, nil if it finds none in 20 attempts.
func (s *sim) pickRunning() *simMember {
	for range 20 {
		m := s.members[s.order[s.rng.IntN(len(s.order))]]
		if !m.stopped(s.now) {
			return m
		}
	}
	return nil
}

// send delivers a message later, possibly twice. If the message is lost, lost is
// called.
func (s *sim) send(to string, deliver func(m *simMember), lost func()) {
	run := func() {
		if m := s.members[to]; m != nil && !m.stopped(s.now) {
			deliver(m)
		} else if lost != nil {
			lost()
		}
	}
	switch chance := s.rng.IntN(100); {
	case chance < 5:
		if lost != nil {
			s.network = append(s.network, lost)
		}
	case chance < 10:
		s.network = append(s.network, run, run)
	default:
		s.network = append(s.network, run)
	}
}

func (s *sim) step() {
	s.now = s.now.Add(time.Duration(s.rng.IntN(40)) * time.Millisecond)
	for range s.rng.IntN(4) {
		s.deliver()
	}
	switch chance := s.rng.IntN(1000); {
	case chance < 500:
		s.readLog(s.pickRunning())
	case chance < 900:
		s.request(s.pickRunning())
	case chance < 990:
		s.maintain(s.pickRunning())
	case chance < 997:
		if m := s.pickRunning(); m != nil {
			m.stoppedUntil = s.now.Add(time.Duration(s.rng.IntN(6000)) * time.Millisecond)
		}
	default:
		s.changeTable()
	}
}

func (s *sim) deliver() {
	if len(s.network) == 0 {
		return
	}
	i := s.rng.IntN(len(s.network))
	f := s.network[i]
	s.network = append(s.network[:i], s.network[i+1:]...)
	f()
}

// readLog applies some or all of the unread tables.
func (s *sim) readLog(m *simMember) {
	if m == nil {
		return
	}
	for m.tablesRead < len(s.tables) {
		s.apply(m)
		if s.rng.IntN(3) == 0 {
			return
		}
	}
	last := int64(len(s.tables))
	m.auth.ObserveTail(authority.TailRead{Start: s.now, NextOffset: last + 1, AppliedOffset: last, Epoch: last})
}

func (s *sim) apply(m *simMember) {
	now := s.maps[m.tablesRead]
	var ids []string
	if g, found := now.GroupOfMember(m.id); found {
		ids = g.IDs()
	}
	m.attester.SetTable(now.Epoch(), len(ids) > 0)
	m.auth.SetTable(now.Epoch(), ids)
	m.store.TableChanged(s.now, now, m.tablesRead == 0 || s.broken == joinersAreComplete)
	m.tablesRead++
}

func (s *sim) maintain(m *simMember) {
	if m == nil {
		return
	}
	m.store.Expire(s.now)
	for _, t := range m.store.PendingTransfers(s.now) {
		sent := s.now
		if s.broken == transfersAreEmpty {
			for i := range t.Partitions {
				t.Partitions[i].Entries = nil
			}
		}
		s.send(t.To, func(to *simMember) {
			age := func(i, j int) time.Duration { return sent.Sub(t.Partitions[i].Entries[j].PermittedAt) }
			if to.store.ApplyTransfer(s.now, t, age) == nil {
				s.send(t.From, func(from *simMember) { from.store.TransferAcked(t) }, nil)
			}
		}, nil)
	}
}

// changeTable adds a member or removes one; a removed member may keep running.
func (s *sim) changeTable() {
	members := s.table().Members
	if len(members) < 2 || len(members) < simMembers && s.rng.IntN(2) == 0 {
		joined := append(append([]structs.Member{}, members...), structs.Member{ID: s.startMember(), Region: "r"})
		s.addTable(joined)
		return
	}
	i := s.rng.IntN(len(members))
	s.members[members[i].ID].dead = s.rng.IntN(2) == 0
	s.addTable(append(append([]structs.Member{}, members[:i]...), members[i+1:]...))
}

// request requests a permit for a random key.
func (s *sim) request(entry *simMember) {
	if entry == nil {
		return
	}
	s.lastID++
	key := fmt.Sprintf("key-%d", s.rng.IntN(simKeys))
	if s.rng.IntN(4) == 0 {
		key = bindPrefix + key
	}
	id := fmt.Sprintf("%s/r%d", entry.id, s.lastID)
	home, found := entry.home(key)
	if !found {
		return
	}
	start := s.now
	s.requestedAt[id] = start
	ended := false
	answer := func(d Decision) {
		s.send(entry.id, func(*simMember) {
			if ended {
				return
			}
			ended = true
			s.handleDecision(entry, key, id, start, d)
		}, nil)
	}
	s.send(home.ID, func(h *simMember) { s.permit(h, key, id, answer) }, nil)
}

// permit handles a request for a permit at the home.
func (s *sim) permit(h *simMember, key, id string, answer func(Decision)) {
	var d Decision
	if strings.HasPrefix(key, bindPrefix) {
		d = h.store.Bind(s.now, key, "f", []byte(id))
	} else {
		d = h.store.Permit(s.now, key, id, "f")
	}
	if d.Kind != AwaitCopy {
		answer(d)
		return
	}
	sent := s.now
	ended := false
	back := func(err error) func(*simMember) {
		return func(h *simMember) {
			if ended {
				return
			}
			ended = true
			if err != nil {
				answer(h.store.CopyFailed(s.now, d.Copy, err))
				return
			}
			answer(h.store.CopyAcked(s.now, d.Copy))
		}
	}
	timeout := func() {
		back(structs.NewError(structs.CodeDeadline, "lost"))(h)
	}
	s.send(d.Copy.To, func(b *simMember) {
		var err error
		switch {
		case s.broken == ackWithoutCopy:
		case s.broken == newerBackupAcks && b.store.Epoch() > d.Copy.Epoch:
		default:
			err = b.store.ApplyCopy(s.now, d.Copy, s.now.Sub(sent))
		}
		s.send(h.id, back(err), timeout)
	}, timeout)
}

// handleDecision handles the home's answer at the entry: it dispatches if the permit is
// granted in time.
func (s *sim) handleDecision(entry *simMember, key, id string, start time.Time, d Decision) {
	settle := func(outcome structs.Outcome) {
		s.settle(entry, key, structs.Answer{RequestID: id, Outcome: outcome, Body: []byte(id)}, 5)
	}
	switch {
	case strings.HasPrefix(key, bindPrefix):
		if d.Kind == Replay {
			s.checkBinding(key, string(d.Answer.Body))
		}
		return
	case d.Kind == Replay:
		s.replays++
		s.checkReplay(key, d.Answer)
		return
	case d.Kind == Granted && s.now.Before(start.Add(d.ValidFor)):
		s.grants++
	default:
		if structs.CodeOf(d.Err) == structs.CodeUnknown {
			s.unknown++
		}
		settle(structs.OutcomeNotRun)
		return
	}
	switch s.rng.IntN(10) {
	case 0, 1:
		settle(structs.OutcomeNotRun)
	case 2:
		s.recordRun(key, id, start)
		settle(structs.OutcomeUnknown)
	default:
		s.recordRun(key, id, start)
		settle(structs.OutcomeAnswered)
	}
}

func (s *sim) settle(entry *simMember, key string, answer structs.Answer, tries int) {
	home, found := entry.home(key)
	if !found || tries == 0 {
		return
	}
	s.send(home.ID, func(h *simMember) {
		c, err := h.store.Settle(s.now, key, answer.RequestID, "f", answer)
		if structs.CodeOf(err) == structs.CodeNotOwner && !entry.stopped(s.now) {
			s.settle(entry, key, answer, tries-1)
		}
		if c != nil {
			sent := s.now
			s.send(c.To, func(b *simMember) { _ = b.store.ApplyCopy(s.now, c, s.now.Sub(sent)+sent.Sub(c.Entry.PermittedAt)) }, nil)
		}
	}, nil)
}

// recordRun records that an endpoint ran the request, and fails if it must not have.
func (s *sim) recordRun(key, id string, requestedAt time.Time) {
	for _, other := range s.runs[key] {
		if s.now.Sub(other.requestedAt) < s.limits.Retention && s.failure == "" {
			s.failure = fmt.Sprintf("%s ran for %s, requested at %v, and for %s at %v", key, other.request, other.requestedAt.Sub(origin), id, s.now.Sub(origin))
		}
	}
	s.runs[key] = append(s.runs[key], simRun{request: id, requestedAt: requestedAt})
}

// checkBinding fails if a key returned two values so close in time that the second
// cannot have been bound after the retention of the first.
func (s *sim) checkBinding(key, value string) {
	seen := s.boundValues[key]
	if seen == nil {
		seen = make(map[string]binding)
		s.boundValues[key] = seen
	}
	b, known := seen[value]
	if !known {
		b = binding{requestedAt: s.requestedAt[value], firstSeenAt: s.now}
		seen[value] = b
	}
	s.bindings++
	for other, o := range seen {
		after := b.firstSeenAt.Sub(o.requestedAt) >= s.limits.Retention
		before := o.firstSeenAt.Sub(b.requestedAt) >= s.limits.Retention
		if other != value && !after && !before && s.failure == "" {
			s.failure = fmt.Sprintf("%s was bound to %s and to %s", key, other, value)
		}
	}
}

func (s *sim) checkReplay(key string, answer *structs.Answer) {
	for _, run := range s.runs[key] {
		if run.request == string(answer.Body) {
			return
		}
	}
	s.failure = fmt.Sprintf("%s: the replay %q belongs to no run", key, answer.Body)
}

func simulate(seed uint64, broken brokenRule) *sim {
	s := newSim(seed, broken)
	for range simSteps {
		s.step()
		if s.failure != "" {
			break
		}
	}
	return s
}

func TestNoKeyRunsTwice(t *testing.T) {
	seeds := *simSeeds
	var grants, replays, unknown, bindings, tables int
	for seed := range uint64(seeds) {
		s := simulate(seed, noBrokenRule)
		if s.failure != "" {
			t.Errorf("seed %d: %s", seed, s.failure)
		}
		grants += s.grants
		replays += s.replays
		unknown += s.unknown
		bindings += s.bindings
		tables += len(s.tables)
	}
	t.Logf("%d seeds: %d grants, %d replays, %d unknown, %d bindings, %d tables", seeds, grants, replays, unknown, bindings, tables)
	if grants == 0 || replays == 0 || unknown == 0 || bindings == 0 {
		t.Error("the simulation did not produce every kind of answer")
	}
}

func TestSimulationFindsBrokenRules(t *testing.T) {
	const seeds = 50
	for _, broken := range []brokenRule{ackWithoutCopy, joinersAreComplete, transfersAreEmpty, newerBackupAcks} {
		found := ""
		for seed := uint64(0); seed < seeds && found == ""; seed++ {
			found = simulate(seed, broken).failure
		}
		if found == "" {
			t.Errorf("broken rule %d was not detected in %d seeds", broken, seeds)
		}
		t.Logf("broken rule %d: %s", broken, found)
	}
}
