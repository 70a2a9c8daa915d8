package authority

import (
	"flag"
	"strings"
	"testing"
	"time"

	"dotterelhitch/internal/ownership"
	"dotterelhitch/internal/structs"
)

// The model checker in this file explores every interleaving of a small model: members
// a, b and c, a joining member d, and changes of the table. It compares two members: an
// old one, whose authority is computed by this package, and a new one, which is assumed
// to have authority whenever Handover permits it to act. A conflict is an object, given
// by the order in which members are preferred as its owner, for which both have
// authority at the same time.
//
// Whatever the model omits can only remove authority. A member may make no step for any
// time, which covers pauses, crashes, broken connections and log outages of any length.
// An append may take effect at any later time, and nothing depends on its answer, which
// covers lost answers. A call is a single step that starts at the time of the step: a
// later answer confirms authority as of the same time, and a call that began earlier as
// of an earlier one. A consent that can no longer lead to a record only prevents its
// member from attesting, and is omitted. States in which the old member is at the last
// possible epoch, or has been removed from the table, are not explored further, since
// the old member can't have authority against a newer epoch from then on.
//
// Time is represented by ages up to the authority validity, so that the exploration has
// no time limit. Steps within one tick occur in any order.

const (
	modelMembers = 4
	// maxModelRecords is the maximum number of records in the log, maxModelChanges that
	// of changes.
	maxModelRecords = 3
	maxModelChanges = 3
)

// exploreLargeModels adds larger models, which take minutes.
var exploreLargeModels = flag.Bool("full-walk", false, "also explore the larger models")

var modelMemberIDs = [modelMembers]string{"a", "b", "c", "d"}

// modelVariant is the configuration of one exploration. Each of the bool fields at its
// end disables one rule.
type modelVariant struct {
	name string
	// changes are the changes that may be proposed concurrently, and maxRecords is how
	// many of them may take effect.
	changes    []MembershipChange
	maxRecords uint8
	// validity is Config.AuthorityValidity in seconds; one tick is one second.
	validity uint8
	// pauses permits a member to resume from a pause longer than validity.
	pauses bool
	// old and new are the indexes of the two members to compare.
	old, new int
	// wronglyListedGone are running members that the platform's list shows as gone.
	wronglyListedGone []string

	readClearsConsent    bool
	restartClearsConsent bool
	joinNeedsNoConsent   bool
	attestAnyEpoch       bool
	newOwnerDoesNotWait  bool
	forcedChangeExpires  bool
}

// recordID identifies a record, counted from 1; zero means none.
type recordID uint8

type modelMember struct {
	// epoch is the number of records that the member has applied.
	epoch uint8
	// consents is the set of changes based on this epoch that the member consented to.
	consents uint8
	// forgotConsents is set if a variant made the member forget them.
	forgotConsents bool
	// wokeFromPause is set if the member has resumed from a pause and has not read the
	// log since.
	wokeFromPause bool
}

// modelState is a node of the state graph.
type modelState struct {
	log     [maxModelRecords]recordID
	pending [maxModelChanges]recordID
	members [modelMembers]modelMember
	// tailAge and attestationAges are the ages of the old member's observations.
	tailAge         uint8
	attestationAges [modelMembers]uint8
	// readAges are the ages at which the new member read the records.
	readAges [maxModelRecords]uint8
	// recordAges are the ages of the records in the log.
	recordAges [maxModelRecords]uint8
}

// modelChecker contains the variant and caches the results that depend only on the log.
type modelChecker struct {
	modelVariant
	cfg    Config
	now    time.Time
	orders [][]int
	states map[logPrefix]MembershipState
	maps   map[logPrefix]*ownership.Map
	// records are the records proposed so far, by recordID.
	records []MembershipChange
	// recordPrefixes are the log prefixes on which the records are based.
	recordPrefixes  []logPrefix
	proposedRecords map[modelProposal]recordID
}

type logPrefix struct {
	log [maxModelRecords]recordID
	n   uint8
}

type modelProposal struct {
	prefix   logPrefix
	change   int
	consents uint8
}

func newModelChecker(variant modelVariant) *modelChecker {
	cfg := Config{AuthorityValidity: time.Duration(variant.validity) * time.Second}
	return &modelChecker{
		modelVariant: variant, cfg: cfg, now: at(1000), orders: permutations(modelMembers),
		states:          make(map[logPrefix]MembershipState),
		maps:            make(map[logPrefix]*ownership.Map),
		proposedRecords: make(map[modelProposal]recordID),
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

func (s *modelState) length() uint8 {
	var n uint8
	for n < maxModelRecords && s.log[n] != 0 {
		n++
	}
	return n
}

func (s *modelState) prefix(n uint8) logPrefix {
	p := logPrefix{n: n}
	copy(p.log[:n], s.log[:n])
	return p
}

func memberIDs(set uint8) []string {
	var ids []string
	for i, name := range modelMemberIDs {
		if set>>i&1 == 1 {
			ids = append(ids, name)
		}
	}
	return ids
}

// membershipAt returns the membership state after a prefix of the log, as computed by
// ApplyChange.
func (mc *modelChecker) membershipAt(p logPrefix) MembershipState {
	if s, found := mc.states[p]; found {
		return s
	}
	s := newState(1, "a", "b", "c")
	if p.n > 0 {
		before := p
		before.n--
		before.log[before.n] = 0
		base := mc.membershipAt(before)
		c := mc.records[p.log[p.n-1]-1]
		next, err := ApplyChange(base, c.Base+1, c)
		if err != nil {
			next.Table, err = nextTable(base.Table, c.Base+1, c)
		}
		if err != nil {
			panic(err)
		}
		s = next
		if mc.forcedChangeExpires {
			s.Unconfirmed = nil
		}
	}
	mc.states[p] = s
	mc.maps[p] = ownership.NewMap(s.Table)
	return s
}

func (mc *modelChecker) mapAt(p logPrefix) *ownership.Map {
	mc.membershipAt(p)
	return mc.maps[p]
}

// attester returns the member's Attester in the given state.
func (mc *modelChecker) attester(s *modelState, i int) *Attester {
	state := mc.membershipAt(s.prefix(s.members[i].epoch))
	a := NewAttester(mc.cfg, mc.now)
	a.SetTable(state.Table.Epoch, state.Table.HasMember(modelMemberIDs[i]))
	a.hasConsented = s.members[i].consents != 0 && !s.members[i].forgotConsents
	if s.members[i].wokeFromPause {
		a.Tick(mc.now.Add(mc.cfg.AuthorityValidity + time.Second))
	}
	return a
}

// timeOfAge returns the time of an observation of the given age, zero if the age is at
// least the validity.
func (mc *modelChecker) timeOfAge(age uint8) time.Time {
	if age >= mc.validity {
		return time.Time{}
	}
	return mc.now.Add(-time.Duration(age) * time.Second)
}

func (mc *modelChecker) oldHasAuthority(s *modelState) bool { return !mc.oldConfirmedAt(s).IsZero() }

// oldConfirmedAt returns the time at which the old member's authority was last
// confirmed.
func (mc *modelChecker) oldConfirmedAt(s *modelState) time.Time {
	m := mc.mapAt(s.prefix(s.members[mc.old].epoch))
	group, found := m.GroupOfMember(modelMemberIDs[mc.old])
	if !found {
		return time.Time{}
	}
	a := New(mc.cfg, modelMemberIDs[mc.old], mc.attester(s, mc.old))
	a.SetTable(m.Epoch(), group.IDs())
	a.ObserveTail(TailRead{Start: mc.timeOfAge(s.tailAge), Epoch: m.Epoch()})
	for i, name := range modelMemberIDs {
		if i != mc.old {
			a.ObserveAttestation(name, m.Epoch(), mc.timeOfAge(s.attestationAges[i]))
		}
	}
	return a.ConfirmedAt(mc.now)
}

// confirmedAfterChange reports whether the old member's authority was confirmed in a
// later tick than a change of the members that it has not read. That would be a fault,
// since a new owner may act at once on workers that it reaches. After a forced change
// it is permitted.
func (mc *modelChecker) confirmedAfterChange(s *modelState) bool {
	since := mc.oldConfirmedAt(s)
	if since.IsZero() || len(mc.wronglyListedGone) > 0 {
		return false
	}
	for n := s.members[mc.old].epoch; n < s.length(); n++ {
		c := mc.records[s.log[n]-1]
		changed := len(c.Join)+len(c.Remove) > 0
		if changed && since.After(mc.now.Add(-time.Duration(s.recordAges[n])*time.Second)) {
			return true
		}
	}
	return false
}

// handover returns the new member's Handover.
func (mc *modelChecker) handover(s *modelState) *Handover {
	cfg := mc.cfg
	if mc.newOwnerDoesNotWait {
		cfg.AuthorityValidity = 0
	}
	h := NewHandover(cfg, modelMemberIDs[mc.new], mc.membershipAt(s.prefix(0)), mc.now.Add(-time.Hour))
	for n := range s.members[mc.new].epoch {
		readAt := mc.now.Add(-time.Duration(s.readAges[n]) * time.Second)
		h.ApplyTableChange(mc.mapAt(s.prefix(n)), mc.membershipAt(s.prefix(n+1)), readAt)
	}
	for i, name := range modelMemberIDs {
		if i != mc.new {
			h.RecordRelease(name, mc.membershipAt(s.prefix(s.members[i].epoch)).Table.Epoch, mc.now)
		}
	}
	return h
}

// bothHaveAuthority reports whether, for some order of preference, both members may act
// as the owner.
func (mc *modelChecker) bothHaveAuthority(s *modelState) bool {
	if s.members[mc.new].epoch <= s.members[mc.old].epoch || !mc.oldHasAuthority(s) {
		return false
	}
	before := mc.mapAt(s.prefix(s.members[mc.old].epoch))
	after := mc.mapAt(s.prefix(s.members[mc.new].epoch))
	h := mc.handover(s)
	for _, order := range mc.orders {
		owner := func(m *ownership.Map) string {
			for _, i := range order {
				if m.Table().HasMember(modelMemberIDs[i]) {
					return modelMemberIDs[i]
				}
			}
			return ""
		}
		if owner(before) == modelMemberIDs[mc.old] && owner(after) == modelMemberIDs[mc.new] && h.expiry(0, owner).Expired(mc.now) {
			return true
		}
	}
	return false
}

// exploration is the result of explore: the numbers of states and steps, the number of
// states in which the old member had authority at an epoch older than the new member's,
// and the steps to the first conflict.
type exploration struct {
	states, steps, oldAuthorityStates int
	trace                             []string
}

// explore visits every reachable state and stops at the first conflict.
func explore(variant modelVariant) exploration {
	mc := newModelChecker(variant)
	var first modelState
	mc.clearObservations(&first)
	seen := map[modelState]int32{first: 0}
	queue := []modelState{first}
	parent := []int32{-1}
	var result exploration
	for i := 0; i < len(queue); i++ {
		s := queue[i]
		if mc.oldHasAuthority(&s) && s.members[mc.new].epoch > s.members[mc.old].epoch {
			result.oldAuthorityStates++
		}
		if mc.bothHaveAuthority(&s) || mc.confirmedAfterChange(&s) {
			result.trace = mc.trace(queue, parent, i)
			break
		}
		if mc.cannotConflict(&s) {
			continue
		}
		mc.forEachStep(s, func(_ string, _ [2]int, to modelState) {
			result.steps++
			if _, found := seen[to]; found {
				return
			}
			seen[to] = int32(len(queue))
			queue = append(queue, to)
			parent = append(parent, int32(i))
		})
	}
	result.states = len(queue)
	return result
}

// trace returns the names of the steps that lead to a state.
func (mc *modelChecker) trace(queue []modelState, parent []int32, i int) []string {
	if parent[i] < 0 {
		return nil
	}
	steps := mc.trace(queue, parent, int(parent[i]))
	var name string
	mc.forEachStep(queue[parent[i]], func(step string, args [2]int, to modelState) {
		if to != queue[i] || name != "" {
			return
		}
		switch {
		case step == "time passes":
			name = step
		case args[0] < 0:
			name = mc.changes[args[1]].ID + " " + strings.TrimSuffix(step, ": change")
		case strings.HasSuffix(step, "change"):
			name = modelMemberIDs[args[0]] + " " + step + " " + mc.changes[args[1]].ID
		default:
			name = modelMemberIDs[args[0]] + " " + step
		}
	})
	return append(steps, name)
}

var (
	joinD       = MembershipChange{ID: "join-d", Join: []structs.Member{{ID: "d", Region: "r"}}}
	removeC     = MembershipChange{ID: "remove-c", Remove: []string{"c"}}
	raise       = MembershipChange{ID: "raise-epoch"}
	removeBC    = MembershipChange{ID: "remove-b-c", Remove: []string{"b", "c"}}
	memberPairs = []struct {
		name     string
		old, new int
	}{{"a-d", 0, 3}, {"b-d", 1, 3}, {"c-d", 2, 3}, {"c-a", 2, 0}, {"c-b", 2, 1}}
)

func TestModelHasNoTwoOwners(t *testing.T) {
	variants := []modelVariant{
		{name: "join and removal", changes: []MembershipChange{joinD, removeC}, maxRecords: 2, validity: 2},
		{name: "raised epoch and removal", changes: []MembershipChange{raise, removeC}, maxRecords: 2, validity: 1},
		{name: "forced removal and join", changes: []MembershipChange{removeBC, joinD}, wronglyListedGone: removeBC.Remove, maxRecords: 2, validity: 1},
	}
	if *exploreLargeModels {
		variants = append(
			variants,
			modelVariant{name: "raised epoch and removal, bound 2", changes: []MembershipChange{raise, removeC}, maxRecords: 2, validity: 2},
			modelVariant{name: "forced removal and join, bound 2", changes: []MembershipChange{removeBC, joinD}, wronglyListedGone: removeBC.Remove, maxRecords: 2, validity: 2},
			modelVariant{name: "join, removal and pauses", changes: []MembershipChange{joinD, removeC}, maxRecords: 2, validity: 1, pauses: true},
			modelVariant{name: "three changes", changes: []MembershipChange{joinD, removeC, raise}, maxRecords: 3, validity: 1},
		)
	}
	for _, v := range variants {
		for _, pair := range memberPairs {
			v := v
			v.old, v.new = pair.old, pair.new
			t.Run(v.name+"/"+pair.name, func(t *testing.T) {
				t.Parallel()
				r := explore(v)
				t.Logf("%d states, %d steps; the old member had authority at an older epoch in %d states", r.states, r.steps, r.oldAuthorityStates)
				if r.trace != nil {
					t.Errorf("two owners after these steps:\n%s", strings.Join(r.trace, "\n"))
				}
				if r.oldAuthorityStates == 0 {
					t.Error("the old member never had authority at an older epoch, so the exploration shows nothing")
				}
			})
		}
	}
}

func TestModelFindsConflictWithoutEachRule(t *testing.T) {
	ordinary := []MembershipChange{joinD, removeC}
	for _, v := range []modelVariant{
		{name: "a tail read permits a member that consented to attest", old: 2, new: 0, readClearsConsent: true},
		{name: "a restart keeps the ID and forgets consent", old: 2, new: 0, restartClearsConsent: true},
		{name: "a join needs no consent", old: 0, new: 3, joinNeedsNoConsent: true},
		{name: "attestations of any epoch count", old: 2, new: 0, attestAnyEpoch: true},
		{name: "the new owner does not wait", old: 2, new: 0, newOwnerDoesNotWait: true},
		{
			name: "permissions expire by time after a forced change", old: 2, new: 0,
			changes: []MembershipChange{removeBC, joinD}, wronglyListedGone: removeBC.Remove, forcedChangeExpires: true,
		},
	} {
		v.maxRecords, v.validity = 2, 2
		if v.changes == nil {
			v.changes = ordinary
		}
		t.Run(v.name, func(t *testing.T) {
			r := explore(v)
			if r.trace == nil {
				t.Fatalf("found no conflict in %d states", r.states)
			}
			t.Logf("found a conflict after %d states:\n%s", r.states, strings.Join(r.trace, "\n"))
		})
	}
}
