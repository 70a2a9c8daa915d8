package authority

import (
	"flag"
	"reflect"
	"strings"
	"testing"
	"time"

	"dotterelhitch/internal/ownership"
	"dotterelhitch/internal/structs"
)

// The walk explores every interleaving of a small model: members a, b and c, a
// joiner d, and changes of the table. It follows one pair: an old member whose
// authority is that of the code in this package, and a new one that is taken to
// hold authority whenever the code of Handover lets it act. It looks for a thing,
// given by the order in which members rank for it, that both hold at once.
//
// What the model leaves out can only take authority away. A member may stay
// without a step for any time, which covers pauses, crashes, cut connections and a
// log outage of any length. An append takes effect at any later time, and nothing
// depends on its answer, which covers lost answers. A call is one step, with its
// start at that time: an answer that comes later gives the same time, and one that
// began earlier gives less. A consent that can lead to no record any more only
// stops its giver from attesting, and is left out. The walk goes no further from a
// state in which the old member is at the newest epoch there can be, or out of the
// table: it holds nothing against a newer epoch from then on.
//
// Time is kept as ages up to the bound, so that the walk is over all times, not up
// to a horizon. Steps of the same tick come in any order.

const (
	walkMembers = 4
	// walkLog is the greatest number of records, and walkChanges of changes.
	walkLog     = 3
	walkChanges = 3
)

// fullWalk adds larger models, which take minutes.
var fullWalk = flag.Bool("full-walk", false, "also walk the larger models")

var walkNames = [walkMembers]string{"a", "b", "c", "d"}

// variant switches one rule off.
type variant struct {
	name string
	// changes are those that may race, and records how many may take effect.
	changes []MembershipChange
	records uint8
	// bound is Config.AuthorityValidity in seconds; a tick is one.
	bound uint8
	// pauses lets a member wake after a pause longer than the bound.
	pauses bool
	// old and new are the pair to follow.
	old, new int
	// listedGone are members that the platform's list shows as gone, wrongly.
	listedGone []string

	readFrees         bool
	restartForgets    bool
	joinNeedsNoOne    bool
	anyEpoch          bool
	gainerDoesNotWait bool
	forcedLapses      bool
}

// recordID names a record that the walk has seen, counted from 1; zero is none.
type recordID uint8

type walkMember struct {
	// epoch is the number of records that the member has applied.
	epoch uint8
	// given are the changes of this epoch that it consented to.
	given uint8
	// freed says that a variant made it forget them.
	freed bool
	// paused says that it woke from a pause and has not read the log since.
	paused bool
}

// walkState is a node of the walk.
type walkState struct {
	log     [walkLog]recordID
	pending [walkChanges]recordID
	m       [walkMembers]walkMember
	// tail and attested are ages of what the old member observed.
	tail     uint8
	attested [walkMembers]uint8
	// read are the ages at which the new member read the records.
	read [walkLog]uint8
	// landed are the ages of the records.
	landed [walkLog]uint8
}

// walker holds what the walk remembers of the decisions that depend on the log.
type walker struct {
	variant
	cfg    Config
	now    time.Time
	orders [][]int
	states map[walkPrefix]MembershipState
	maps   map[walkPrefix]*ownership.Map
	// known are the changes that were ready, by recordID.
	known []MembershipChange
	// follows are the prefixes that the records are based on.
	follows []walkPrefix
	ready   map[walkProposal]recordID
}

type walkPrefix struct {
	log [walkLog]recordID
	n   uint8
}

type walkProposal struct {
	prefix   walkPrefix
	change   int
	consents uint8
}

func newWalker(v variant) *walker {
	cfg := Config{AuthorityValidity: time.Duration(v.bound) * time.Second}
	return &walker{
		variant: v, cfg: cfg, now: at(1000), orders: permutations(walkMembers),
		states: make(map[walkPrefix]MembershipState),
		maps:   make(map[walkPrefix]*ownership.Map),
		ready:  make(map[walkProposal]recordID),
	}
}

func permutations(n int) [][]int {
	if n == 0 {
		return [][]int{nil}
	}
	var all [][]int
	for _, p := range permutations(n - 1) {
		for i := range n {
			q := append(append(append([]int{}, p[:i]...), n-1), p[i:]...)
			all = append(all, q)
		}
	}
	return all
}

func (s *walkState) length() uint8 {
	var n uint8
	for n < walkLog && s.log[n] != 0 {
		n++
	}
	return n
}

func (s *walkState) prefix(n uint8) walkPrefix {
	p := walkPrefix{n: n}
	copy(p.log[:n], s.log[:n])
	return p
}

func members(set uint8) []string {
	var ids []string
	for i, name := range walkNames {
		if set>>i&1 == 1 {
			ids = append(ids, name)
		}
	}
	return ids
}

// stateAt returns what Apply makes of a prefix of the log.
func (w *walker) stateAt(p walkPrefix) MembershipState {
	if s, found := w.states[p]; found {
		return s
	}
	s := stateOf(1, "a", "b", "c")
	if p.n > 0 {
		before := p
		before.n--
		before.log[before.n] = 0
		base := w.stateAt(before)
		c := w.known[p.log[p.n-1]-1]
		next, err := ApplyChange(base, c.Base+1, c)
		if err != nil {
			next.Table, err = nextTable(base.Table, c.Base+1, c)
		}
		if err != nil {
			panic(err)
		}
		s = next
		if w.forcedLapses {
			s.Unconfirmed = nil
		}
	}
	w.states[p] = s
	w.maps[p] = ownership.NewMap(s.Table)
	return s
}

func (w *walker) mapAt(p walkPrefix) *ownership.Map {
	w.stateAt(p)
	return w.maps[p]
}

// attester returns the member's attester as the package's code has it.
func (w *walker) attester(s *walkState, i int) *Attester {
	state := w.stateAt(s.prefix(s.m[i].epoch))
	a := NewAttester(w.cfg, w.now)
	a.SetTable(state.Table.Epoch, state.Table.HasMember(walkNames[i]))
	a.consented = s.m[i].given != 0 && !s.m[i].freed
	if s.m[i].paused {
		a.Tick(w.now.Add(w.cfg.AuthorityValidity + time.Second))
	}
	return a
}

// instant returns the time of an observation of the given age, zero for one that
// is as old as the bound.
func (w *walker) instant(age uint8) time.Time {
	if age >= w.bound {
		return time.Time{}
	}
	return w.now.Add(-time.Duration(age) * time.Second)
}

func (w *walker) oldHolds(s *walkState) bool { return !w.oldSince(s).IsZero() }

// oldSince returns the time up to which the old member is proven to be in force.
func (w *walker) oldSince(s *walkState) time.Time {
	m := w.mapAt(s.prefix(s.m[w.old].epoch))
	group, found := m.GroupOfMember(walkNames[w.old])
	if !found {
		return time.Time{}
	}
	a := New(w.cfg, walkNames[w.old], w.attester(s, w.old))
	a.SetTable(m.Epoch(), group.IDs())
	a.ObserveTail(TailRead{Start: w.instant(s.tail), Epoch: m.Epoch()})
	for i, name := range walkNames {
		if i != w.old {
			a.ObserveAttestation(name, m.Epoch(), w.instant(s.attested[i]))
		}
	}
	return a.ConfirmedAt(w.now)
}

// provenTooLate reports whether the proof of the old member is of a later tick than a
// change of the members that it has not read: a new owner may have acted at once on
// workers that it reached. After a forced change this may be.
func (w *walker) provenTooLate(s *walkState) bool {
	since := w.oldSince(s)
	if since.IsZero() || len(w.listedGone) > 0 {
		return false
	}
	for n := s.m[w.old].epoch; n < s.length(); n++ {
		c := w.known[s.log[n]-1]
		changed := len(c.Join)+len(c.Remove) > 0
		if changed && since.After(w.now.Add(-time.Duration(s.landed[n])*time.Second)) {
			return true
		}
	}
	return false
}

// handover returns the new member's view of old owners.
func (w *walker) handover(s *walkState) *Handover {
	cfg := w.cfg
	if w.gainerDoesNotWait {
		cfg.AuthorityValidity = 0
	}
	h := NewHandover(cfg, walkNames[w.new], w.stateAt(s.prefix(0)), w.now.Add(-time.Hour))
	for n := range s.m[w.new].epoch {
		readAt := w.now.Add(-time.Duration(s.read[n]) * time.Second)
		h.ApplyTableChange(w.mapAt(s.prefix(n)), w.stateAt(s.prefix(n+1)), readAt)
	}
	for i, name := range walkNames {
		if i != w.new {
			h.RecordRelease(name, w.stateAt(s.prefix(s.m[i].epoch)).Table.Epoch, w.now)
		}
	}
	return h
}

// conflict reports whether some thing is held by both members of the pair.
func (w *walker) conflict(s *walkState) bool {
	if s.m[w.new].epoch <= s.m[w.old].epoch || !w.oldHolds(s) {
		return false
	}
	before := w.mapAt(s.prefix(s.m[w.old].epoch))
	after := w.mapAt(s.prefix(s.m[w.new].epoch))
	h := w.handover(s)
	for _, order := range w.orders {
		owner := func(m *ownership.Map) string {
			for _, i := range order {
				if m.Table().HasMember(walkNames[i]) {
					return walkNames[i]
				}
			}
			return ""
		}
		if owner(before) == walkNames[w.old] && owner(after) == walkNames[w.new] && h.lapse(0, owner).Expired(w.now) {
			return true
		}
	}
	return false
}

// next calls yield with every state that one step leads to.
func (w *walker) next(s walkState, yield func(step string, args [2]int, to walkState)) {
	yield("time passes", [2]int{}, w.tick(s))
	for i := range walkMembers {
		w.learn(s, i, yield)
		w.readTail(s, i, yield)
		w.consent(s, i, yield)
		w.attest(s, i, yield)
		if w.pauses && !s.m[i].paused {
			to := s
			to.m[i].paused = true
			yield("wakes from a pause", [2]int{i}, to)
		}
		if w.restartForgets && s.m[i].given != 0 {
			to := s
			to.m[i].freed = true
			yield("restart", [2]int{i}, to)
		}
	}
	for c := range w.changes {
		w.appendChange(s, c, yield)
		w.takeEffect(s, c, yield)
	}
}

type yielder = func(step string, args [2]int, to walkState)

func (w *walker) tick(s walkState) walkState {
	older := func(age *uint8) { *age = min(*age+1, w.bound) }
	older(&s.tail)
	for i := range s.attested {
		older(&s.attested[i])
	}
	for n := range s.read {
		older(&s.read[n])
		older(&s.landed[n])
	}
	return s
}

// learn applies one more record, read or relayed.
func (w *walker) learn(s walkState, i int, yield yielder) {
	if s.m[i].epoch >= s.length() {
		return
	}
	if i == w.new {
		s.read[s.m[i].epoch] = 0
	}
	s.m[i] = walkMember{epoch: s.m[i].epoch + 1, paused: s.m[i].paused}
	if i == w.old {
		w.forget(&s)
	}
	yield("learns a record", [2]int{i}, s)
}

// forget sets the old member's observations to none.
func (w *walker) forget(s *walkState) {
	s.tail = w.bound
	for i := range s.attested {
		s.attested[i] = w.bound
	}
}

// readTail is a read that shows no record which the member has not applied.
func (w *walker) readTail(s walkState, i int, yield yielder) {
	if s.m[i].epoch != s.length() {
		return
	}
	if i == w.old {
		s.tail = 0
	}
	s.m[i].paused = false
	if w.readFrees && s.m[i].given != 0 {
		s.m[i].freed = true
	}
	yield("reads the tail", [2]int{i}, s)
}

func (w *walker) consent(s walkState, i int, yield yielder) {
	if s.m[i].epoch != s.length() || s.length() == w.records {
		return
	}
	attester := w.attester(&s, i)
	for c := range w.changes {
		state := w.stateAt(s.prefix(s.m[i].epoch))
		if _, err := nextTable(state.Table, state.Table.Epoch+1, withBase(w.changes[c], state)); err != nil {
			continue
		}
		if s.m[i].given>>c&1 == 1 || s.pending[c] != 0 || attester.Consent(state.Table.Epoch) != nil {
			continue
		}
		to := s
		to.m[i].given |= 1 << c
		to.m[i].freed = false
		yield("consents to change", [2]int{i, c}, to)
	}
}

func withBase(c MembershipChange, s MembershipState) MembershipChange {
	c.Base = s.Table.Epoch
	return c
}

// attest is member i's answer to the old member.
func (w *walker) attest(s walkState, i int, yield yielder) {
	if i == w.old {
		return
	}
	asked := w.stateAt(s.prefix(s.m[w.old].epoch)).Table.Epoch
	if w.anyEpoch {
		asked = w.stateAt(s.prefix(s.m[i].epoch)).Table.Epoch
	}
	if w.attester(&s, i).Attest(asked) != AttestGranted {
		return
	}
	s.attested[i] = 0
	yield("attests", [2]int{i}, s)
}

// appendChange sends a change that has its consents; the answer does not matter.
func (w *walker) appendChange(s walkState, c int, yield yielder) {
	if s.pending[c] != 0 || s.length() == w.records {
		return
	}
	p := walkProposal{prefix: s.prefix(s.length()), change: c}
	for i := range s.m {
		if s.m[i].epoch == s.length() {
			p.consents |= s.m[i].given >> c & 1 << i
		}
	}
	s.pending[c] = w.propose(p)
	if s.pending[c] != 0 {
		yield("is appended: change", [2]int{-1, c}, s)
	}
}

// propose returns the record that the package's Proposal makes of the consents,
// zero if they are too few.
func (w *walker) propose(p walkProposal) recordID {
	if id, found := w.ready[p]; found {
		return id
	}
	w.ready[p] = 0
	proposal, err := NewProposal(w.stateAt(p.prefix), w.changes[p.change])
	if err != nil {
		return 0
	}
	for _, id := range members(p.consents) {
		proposal.RecordConsent(id)
	}
	for _, id := range w.listedGone {
		proposal.CountAsGone(id)
	}
	c, ready := proposal.Ready()
	if w.joinNeedsNoOne && len(proposal.Change().Join) > 0 {
		c, ready = proposal.Change(), true
	}
	if ready {
		w.ready[p] = w.record(p.prefix, c)
	}
	return w.ready[p]
}

// record returns the ID of a record. Who consented matters only where a forced
// change may have left members in doubt; else the sets of consents count as one.
func (w *walker) record(prefix walkPrefix, c MembershipChange) recordID {
	for i, known := range w.known {
		same := known.ID == c.ID && known.Base == c.Base && w.follows[i] == prefix
		if same && (len(w.listedGone) == 0 || reflect.DeepEqual(known, c)) {
			return recordID(i + 1)
		}
	}
	w.known = append(w.known, c)
	w.follows = append(w.follows, prefix)
	return recordID(len(w.known))
}

// takeEffect lets a sent record land. Others of the same base are void from then on.
func (w *walker) takeEffect(s walkState, c int, yield yielder) {
	if s.pending[c] == 0 {
		return
	}
	s.landed[s.length()] = 0
	s.log[s.length()] = s.pending[c]
	s.pending = [walkChanges]recordID{}
	yield("takes effect: change", [2]int{-1, c}, s)
}

// settled reports whether the old member can't hold against a newer epoch any more.
func (w *walker) settled(s *walkState) bool {
	epoch := s.m[w.old].epoch
	left := epoch > 0 && w.stateAt(s.prefix(epoch-1)).Table.HasMember(walkNames[w.old]) &&
		!w.stateAt(s.prefix(epoch)).Table.HasMember(walkNames[w.old])
	return epoch == w.records || left
}

// walkResult is what a walk found.
type walkResult struct {
	states, steps, held int
	trace               []string
}

// walk visits every state that can be reached and stops at the first conflict.
func walk(v variant) walkResult {
	w := newWalker(v)
	var first walkState
	w.forget(&first)
	seen := map[walkState]int32{first: 0}
	queue := []walkState{first}
	parent := []int32{-1}
	var r walkResult
	for i := 0; i < len(queue); i++ {
		s := queue[i]
		if w.oldHolds(&s) && s.m[w.new].epoch > s.m[w.old].epoch {
			r.held++
		}
		if w.conflict(&s) || w.provenTooLate(&s) {
			r.trace = w.trace(queue, parent, i)
			break
		}
		if w.settled(&s) {
			continue
		}
		w.next(s, func(_ string, _ [2]int, to walkState) {
			r.steps++
			if _, found := seen[to]; found {
				return
			}
			seen[to] = int32(len(queue))
			queue = append(queue, to)
			parent = append(parent, int32(i))
		})
	}
	r.states = len(queue)
	return r
}

// trace names the steps that lead to a state.
func (w *walker) trace(queue []walkState, parent []int32, i int) []string {
	if parent[i] < 0 {
		return nil
	}
	steps := w.trace(queue, parent, int(parent[i]))
	var name string
	w.next(queue[parent[i]], func(step string, args [2]int, to walkState) {
		if to != queue[i] || name != "" {
			return
		}
		switch {
		case step == "time passes":
			name = step
		case args[0] < 0:
			name = w.changes[args[1]].ID + " " + strings.TrimSuffix(step, ": change")
		case strings.HasSuffix(step, "change"):
			name = walkNames[args[0]] + " " + step + " " + w.changes[args[1]].ID
		default:
			name = walkNames[args[0]] + " " + step
		}
	})
	return append(steps, name)
}

var (
	joinD     = MembershipChange{ID: "join-d", Join: []structs.Member{{ID: "d", Region: "r"}}}
	removeC   = MembershipChange{ID: "remove-c", Remove: []string{"c"}}
	raise     = MembershipChange{ID: "raise-epoch"}
	removeBC  = MembershipChange{ID: "remove-b-c", Remove: []string{"b", "c"}}
	walkPairs = []struct {
		name     string
		old, new int
	}{{"a-d", 0, 3}, {"b-d", 1, 3}, {"c-d", 2, 3}, {"c-a", 2, 0}, {"c-b", 2, 1}}
)

func TestWalkFindsNoTwoOwners(t *testing.T) {
	walks := []variant{
		{name: "join and removal", changes: []MembershipChange{joinD, removeC}, records: 2, bound: 2},
		{name: "raised epoch and removal", changes: []MembershipChange{raise, removeC}, records: 2, bound: 1},
		{name: "forced removal and join", changes: []MembershipChange{removeBC, joinD}, listedGone: removeBC.Remove, records: 2, bound: 1},
	}
	if *fullWalk {
		walks = append(
			walks,
			variant{name: "raised epoch and removal, bound 2", changes: []MembershipChange{raise, removeC}, records: 2, bound: 2},
			variant{name: "forced removal and join, bound 2", changes: []MembershipChange{removeBC, joinD}, listedGone: removeBC.Remove, records: 2, bound: 2},
			variant{name: "join, removal and pauses", changes: []MembershipChange{joinD, removeC}, records: 2, bound: 1, pauses: true},
			variant{name: "three changes", changes: []MembershipChange{joinD, removeC, raise}, records: 3, bound: 1},
		)
	}
	for _, v := range walks {
		for _, pair := range walkPairs {
			v := v
			v.old, v.new = pair.old, pair.new
			t.Run(v.name+"/"+pair.name, func(t *testing.T) {
				t.Parallel()
				r := walk(v)
				t.Logf("%d states, %d steps; in %d the old member held at an older epoch", r.states, r.steps, r.held)
				if r.trace != nil {
					t.Errorf("two owners after:\n%s", strings.Join(r.trace, "\n"))
				}
				if r.held == 0 {
					t.Error("the old member never held at an older epoch: the walk shows nothing")
				}
			})
		}
	}
}

func TestWalkFindsEachRuleLeftOut(t *testing.T) {
	ordinary := []MembershipChange{joinD, removeC}
	for _, v := range []variant{
		{name: "a read frees a member that consented", old: 2, new: 0, readFrees: true},
		{name: "a restart keeps the ID and forgets consent", old: 2, new: 0, restartForgets: true},
		{name: "a join needs no consent", old: 0, new: 3, joinNeedsNoOne: true},
		{name: "attestations of any epoch count", old: 2, new: 0, anyEpoch: true},
		{name: "the gainer does not wait", old: 2, new: 0, gainerDoesNotWait: true},
		{
			name: "a forced change lapses by time", old: 2, new: 0,
			changes: []MembershipChange{removeBC, joinD}, listedGone: removeBC.Remove, forcedLapses: true,
		},
	} {
		v.records, v.bound = 2, 2
		if v.changes == nil {
			v.changes = ordinary
		}
		t.Run(v.name, func(t *testing.T) {
			r := walk(v)
			if r.trace == nil {
				t.Fatalf("found nothing in %d states", r.states)
			}
			t.Logf("found after %d states:\n%s", r.states, strings.Join(r.trace, "\n"))
		})
	}
}
