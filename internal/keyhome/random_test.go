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

// The simulation runs members, callers and a network in virtual time from a seed:
// members join, crash, are removed while alive, stop for a while and read the table
// late; messages come out of order, twice, or not at all. The rights are those of
// package authority. It fails if a
// request ran within the retention of another one of its key, or a key was bound to two
// values.

const (
	simSteps   = 5000
	simKeys    = 30
	simMembers = 5
	// bindPrefix marks the keys that are bound to a value instead of permitted.
	bindPrefix = "bind-"
)

// simSeeds is the number of runs.
var simSeeds = flag.Int("sim-seeds", 30, "number of seeded runs of the simulation")

// breakage breaks one rule, to show that the simulation notices.
type breakage int

const (
	intact breakage = iota
	ackWithoutCopy
	joinersAreCertain
	transfersAreEmpty
	newerBackupAcks
)

type simMember struct {
	id       string
	store    *Store
	auth     *authority.Authority
	attester *authority.Attester
	// read is the number of tables that the member has read.
	read  int
	dead  bool
	until time.Time // stopped until
}

func (m *simMember) Holds(now time.Time) bool   { return m.auth.Holds(now) }
func (m *simMember) stopped(now time.Time) bool { return m.dead || now.Before(m.until) }
func (m *simMember) home(key string) (structs.Member, bool) {
	if m.store.Epoch() == 0 {
		return structs.Member{}, false
	}
	return structs.Member{ID: m.store.current().holders[ownership.PartitionOf(key)].home}, true
}

// simRun is a run of a request and when its permit was asked for, from when on the
// key is remembered at least.
type simRun struct {
	request string
	asked   time.Time
}

// binding is when the caller of a bound value asked, and when the value was first
// seen.
type binding struct{ asked, seen time.Time }

type sim struct {
	rng     *rand.Rand
	broken  breakage
	now     time.Time
	limits  Limits
	cfg     authority.Config
	tables  []ownership.Table
	maps    []*ownership.Map
	members map[string]*simMember
	order   []string
	network []func()
	runs    map[string][]simRun
	asked   map[string]time.Time
	// bound are the values that were seen for each bound key.
	bound map[string]map[string]binding

	next                     int
	grants, replays, unknown int
	bindings                 int
	failure                  string
}

func newSim(seed uint64, broken breakage) *sim {
	cfg := authority.Config{AuthorityValidity: 2 * time.Second, ClockMargin: 500 * time.Millisecond}
	s := &sim{
		rng: rand.New(rand.NewPCG(seed, 1)), broken: broken, now: origin, cfg: cfg,
		members: make(map[string]*simMember), runs: make(map[string][]simRun), bound: make(map[string]map[string]binding), asked: make(map[string]time.Time),
		limits: Limits{
			MaxEntries: 1000, MaxBytes: 1 << 20, MaxAnswerBytes: 100, Retention: 40 * time.Second,
			DispatchWindow: time.Second, MaxRunTime: 4 * time.Second, AuthorityBound: cfg.AuthorityValidity + cfg.ClockMargin,
		},
	}
	var first ownership.Table
	for range 3 {
		first.Members = append(first.Members, structs.Member{ID: s.start(), Region: "r"})
	}
	s.addTable(first.Members)
	return s
}

func (s *sim) start() string {
	s.next++
	m := &simMember{id: fmt.Sprintf("m%d", s.next), attester: authority.NewAttester(s.cfg, s.now)}
	m.store = NewStore(m.id, s.limits, m)
	m.auth = authority.New(s.cfg, m.id, m.attester)
	if len(s.tables) > 0 {
		m.read = len(s.tables) - 1
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

// pick returns a random member that runs.
func (s *sim) pick() *simMember {
	for range 20 {
		m := s.members[s.order[s.rng.IntN(len(s.order))]]
		if !m.stopped(s.now) {
			return m
		}
	}
	return nil
}

// send delivers a message later, perhaps twice; if it is lost, lost is called.
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
		s.readLog(s.pick())
	case chance < 900:
		s.request(s.pick())
	case chance < 990:
		s.maintain(s.pick())
	case chance < 997:
		if m := s.pick(); m != nil {
			m.until = s.now.Add(time.Duration(s.rng.IntN(6000)) * time.Millisecond)
		}
	default:
		s.change()
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

// readLog applies tables up to the newest, or only one of them.
func (s *sim) readLog(m *simMember) {
	if m == nil {
		return
	}
	for m.read < len(s.tables) {
		s.apply(m)
		if s.rng.IntN(3) == 0 {
			return
		}
	}
	last := int64(len(s.tables))
	m.auth.ObserveTail(authority.TailRead{Start: s.now, NextOffset: last + 1, AppliedOffset: last, Epoch: last})
}

func (s *sim) apply(m *simMember) {
	now := s.maps[m.read]
	var ids []string
	if g, found := now.GroupOfMember(m.id); found {
		ids = g.IDs()
	}
	m.attester.SetTable(now.Epoch(), len(ids) > 0)
	m.auth.SetTable(now.Epoch(), ids)
	m.store.TableChanged(s.now, now, m.read == 0 || s.broken == joinersAreCertain)
	m.read++
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

// change adds a member or removes one, which may run on.
func (s *sim) change() {
	members := s.table().Members
	if len(members) < 2 || len(members) < simMembers && s.rng.IntN(2) == 0 {
		joined := append(append([]structs.Member{}, members...), structs.Member{ID: s.start(), Region: "r"})
		s.addTable(joined)
		return
	}
	i := s.rng.IntN(len(members))
	s.members[members[i].ID].dead = s.rng.IntN(2) == 0
	s.addTable(append(append([]structs.Member{}, members[:i]...), members[i+1:]...))
}

// request sends a permit for a random key and dispatches if it is granted in time.
func (s *sim) request(entry *simMember) {
	if entry == nil {
		return
	}
	s.next++
	key := fmt.Sprintf("key-%d", s.rng.IntN(simKeys))
	if s.rng.IntN(4) == 0 {
		key = bindPrefix + key
	}
	id := fmt.Sprintf("%s/r%d", entry.id, s.next)
	home, found := entry.home(key)
	if !found {
		return
	}
	start := s.now
	s.asked[id] = start
	ended := false
	answer := func(d Decision) {
		s.send(entry.id, func(*simMember) {
			if ended {
				return
			}
			ended = true
			s.decided(entry, key, id, start, d)
		}, nil)
	}
	s.send(home.ID, func(h *simMember) { s.permit(h, key, id, answer) }, nil)
}

// permit is the home's part.
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

// decided is the entry's part after the home's answer.
func (s *sim) decided(entry *simMember, key, id string, start time.Time, d Decision) {
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
		s.ran(key, id, start)
		settle(structs.OutcomeUnknown)
	default:
		s.ran(key, id, start)
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

// ran records that an endpoint ran the request.
func (s *sim) ran(key, id string, asked time.Time) {
	for _, other := range s.runs[key] {
		if s.now.Sub(other.asked) < s.limits.Retention && s.failure == "" {
			s.failure = fmt.Sprintf("%s ran for %s, asked at %v, and for %s at %v", key, other.request, other.asked.Sub(origin), id, s.now.Sub(origin))
		}
	}
	s.runs[key] = append(s.runs[key], simRun{request: id, asked: asked})
}

// checkBinding fails if two values of a key were seen that can't have been bound one
// after the other's retention.
func (s *sim) checkBinding(key, value string) {
	seen := s.bound[key]
	if seen == nil {
		seen = make(map[string]binding)
		s.bound[key] = seen
	}
	b, known := seen[value]
	if !known {
		b = binding{asked: s.asked[value], seen: s.now}
		seen[value] = b
	}
	s.bindings++
	for other, o := range seen {
		after := b.seen.Sub(o.asked) >= s.limits.Retention
		before := o.seen.Sub(b.asked) >= s.limits.Retention
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
	s.failure = fmt.Sprintf("%s: the replay %q is of no run", key, answer.Body)
}

func simulate(seed uint64, broken breakage) *sim {
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
		s := simulate(seed, intact)
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
		t.Error("the simulation did not reach every answer")
	}
}

func TestSimulationFindsBrokenRules(t *testing.T) {
	const seeds = 50
	for _, broken := range []breakage{ackWithoutCopy, joinersAreCertain, transfersAreEmpty, newerBackupAcks} {
		found := ""
		for seed := uint64(0); seed < seeds && found == ""; seed++ {
			found = simulate(seed, broken).failure
		}
		if found == "" {
			t.Errorf("breakage %d was not found in %d seeds", broken, seeds)
		}
		t.Logf("breakage %d: %s", broken, found)
	}
}
