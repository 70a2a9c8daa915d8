package authority

import (
	"slices"
	"testing"
	"time"

	"dotterelhitch/internal/ownership"
	"dotterelhitch/internal/structs"
)

var (
	testConfig = Config{AuthorityValidity: 4 * time.Second, ClockMargin: time.Second, MaxTaskLease: 10 * time.Second}
	origin     = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
)

func at(seconds int) time.Time { return origin.Add(time.Duration(seconds) * time.Second) }

func stateOf(epoch int64, ids ...string) MembershipState {
	t := ownership.Table{Epoch: epoch}
	for _, id := range ids {
		t.Members = append(t.Members, structs.Member{ID: id, Region: "r"})
	}
	return MembershipState{Table: t}
}

func TestQuorumsIntersect(t *testing.T) {
	for n := 1; n <= ownership.MaxGroupSize; n++ {
		group := make([]string, n)
		in := func(set int) func(int) bool { return func(i int) bool { return set>>i&1 == 1 } }
		for a := range 1 << n {
			if IsQuorum(group, in(a)) && IsQuorum(group, in(1<<n-1-a)) {
				t.Fatalf("%d members: %b and the rest are both quorums", n, a)
			}
		}
	}
}

func newPair(group ...string) (*Authority, *Attester) {
	attester := NewAttester(testConfig, at(0))
	attester.SetTable(5, true)
	a := New(testConfig, "a", attester)
	a.SetTable(5, group)
	return a, attester
}

func TestAuthorityCountsFromTheStartOfTheRead(t *testing.T) {
	a, attester := newPair("a", "b", "c")
	a.ObserveTail(TailRead{Start: at(10), NextOffset: 8, AppliedOffset: 7, Epoch: 5})
	if !a.Holds(at(13)) || a.Holds(at(14)) {
		t.Error("want authority until 4 s after the start of the read")
	}
	if !a.ConfirmedAt(at(13)).Equal(at(10)) || !a.ConfirmedAt(at(14)).IsZero() {
		t.Error("want proof as of the start of the read, none without authority")
	}
	for _, read := range []TailRead{
		{Start: at(20), NextOffset: 9, AppliedOffset: 7, Epoch: 5},
		{Start: at(20), NextOffset: 8, AppliedOffset: 7, Epoch: 4},
	} {
		a.ObserveTail(read)
		if a.Holds(at(20)) {
			t.Errorf("read %+v gave authority", read)
		}
	}
	_ = attester
}

func TestAuthorityByAttestation(t *testing.T) {
	a, attester := newPair("a", "b", "c", "d", "e")
	if got := a.AttestersToAsk(at(1)); !slices.Equal(got, []string{"b", "c", "d", "e"}) {
		t.Errorf("to ask: %v", got)
	}
	a.ObserveAttestation("b", 5, at(1))
	a.ObserveAttestation("c", 4, at(2))
	if a.Holds(at(2)) {
		t.Error("two of five, and one of another epoch, gave authority")
	}
	a.ObserveAttestation("c", 5, at(2))
	if got := a.ValidUntil(at(2)); !got.Equal(at(5)) {
		t.Errorf("until %v, want 4 s after the older of the starts", got)
	}
	if err := attester.Consent(5); err != nil {
		t.Fatal(err)
	}
	if a.Holds(at(2)) {
		t.Error("a member that consented counted for itself")
	}
}

func TestTieGoesToTheHalfWithTheLowestName(t *testing.T) {
	a, _ := newPair("a", "b")
	if !a.Holds(at(1)) {
		t.Error("the lowest of two must hold alone")
	}
	b := New(testConfig, "b", a.attester)
	b.SetTable(5, []string{"a", "b"})
	if b.Holds(at(1)) {
		t.Error("the other of two must not hold alone")
	}
}

func TestAttesterAnswers(t *testing.T) {
	m := NewAttester(testConfig, at(0))
	if m.Attest(0) != AttestRefused {
		t.Error("a member outside the table attested")
	}
	m.SetTable(5, true)
	if m.Attest(5) != AttestGranted || m.Attest(4) != AttestCallerBehind || m.Attest(6) != AttestCalleeBehind {
		t.Error("wrong answer for an equal, older or newer epoch")
	}
	m.Tick(at(3))
	m.Tick(at(8))
	if m.Attest(5) != AttestRefused {
		t.Error("attested after a pause longer than the bound")
	}
	m.ObserveTail(TailRead{Start: at(7), NextOffset: 6, AppliedOffset: 5, Epoch: 5})
	if m.Attest(5) != AttestRefused {
		t.Error("a read that began before the end of the pause ended the wait")
	}
	m.ObserveTail(TailRead{Start: at(9), NextOffset: 6, AppliedOffset: 5, Epoch: 5})
	if m.Attest(5) != AttestGranted {
		t.Error("a read did not end the wait")
	}
	if structs.CodeOf(m.Consent(4)) != structs.CodeConflict || structs.CodeOf(m.Consent(6)) != structs.CodeBehind {
		t.Error("consented to a change of another epoch")
	}
	if err := m.Consent(5); err != nil {
		t.Fatal(err)
	}
	m.ObserveTail(TailRead{Start: at(10), NextOffset: 6, AppliedOffset: 5, Epoch: 5})
	if m.Attest(5) != AttestRefused {
		t.Error("a read freed a member that consented")
	}
	m.SetTable(7, true)
	if m.Attest(7) != AttestGranted {
		t.Error("a new epoch did not free the member")
	}
}

func TestApply(t *testing.T) {
	three := stateOf(5, "a", "b", "c")
	d := []structs.Member{{ID: "d", Region: "r"}}
	for _, c := range []struct {
		name   string
		change MembershipChange
		want   structs.Code
	}{
		{"join with a quorum", MembershipChange{Base: 5, Join: d, Consents: []string{"a", "c"}}, ""},
		{"join without", MembershipChange{Base: 5, Join: d, Consents: []string{"a"}}, structs.CodeInvalid},
		{"old base", MembershipChange{Base: 4, Join: d, Consents: []string{"a", "b"}}, structs.CodeConflict},
		{"removes a stranger", MembershipChange{Base: 5, Remove: []string{"x"}, Consents: []string{"a", "b"}}, structs.CodeInvalid},
		{"joins twice", MembershipChange{Base: 5, Join: append(d, d...), Consents: []string{"a", "b"}}, structs.CodeInvalid},
		{"forced", MembershipChange{Base: 5, Remove: []string{"b", "c"}, Consents: []string{"a"}, Forced: true, ConfirmedGone: []string{"b", "c"}}, ""},
		{"gone but a quorum is left", MembershipChange{Base: 5, Remove: []string{"c"}, Consents: []string{"a"}, Forced: true, ConfirmedGone: []string{"c"}}, structs.CodeInvalid},
		{"gone but not forced", MembershipChange{Base: 5, Remove: []string{"b", "c"}, Consents: []string{"a"}, ConfirmedGone: []string{"b", "c"}}, structs.CodeInvalid},
		{"gone but kept", MembershipChange{Base: 5, Remove: []string{"b"}, Consents: []string{"a"}, Forced: true, ConfirmedGone: []string{"b", "c"}}, structs.CodeInvalid},
		{"epoch only", MembershipChange{Base: 5}, ""},
	} {
		next, err := ApplyChange(three, 9, c.change)
		if structs.CodeOf(err) != c.want {
			t.Errorf("%s: error %v, want code %q", c.name, err, c.want)
		}
		if err == nil && next.Table.Epoch != 9 || err != nil && next.Table.Epoch != 5 {
			t.Errorf("%s: epoch %d", c.name, next.Table.Epoch)
		}
	}
}

func TestProposalForcedOnlyWithoutAQuorum(t *testing.T) {
	p, err := NewProposal(stateOf(5, "a", "b", "c"), MembershipChange{ID: "1", Remove: []string{"b", "c"}})
	if err != nil {
		t.Fatal(err)
	}
	p.CountAsGone("c")
	p.RecordConsent("a")
	if _, ready := p.Ready(); ready {
		t.Error("ready although b may still consent")
	}
	p.CountAsGone("b")
	c, ready := p.Ready()
	if !ready || !c.Forced {
		t.Fatalf("ready %v, %+v", ready, c)
	}
	next, err := ApplyChange(stateOf(5, "a", "b", "c"), 6, c)
	if err != nil || len(next.Unconfirmed) != 3 {
		t.Errorf("after the forced change: %+v, %v", next, err)
	}
}

func TestHandover(t *testing.T) {
	before := stateOf(5, "a", "b", "c")
	after := stateOf(6, "a", "b")
	ownedBy := func(id string) func(*ownership.Map) string {
		return func(*ownership.Map) string { return id }
	}
	h := NewHandover(testConfig, "a", MembershipState{}, at(0))
	h.ApplyTableChange(ownership.NewMap(before.Table), after, at(100))
	if l := h.TaskLeasesExpiry(ownedBy("a")); !l.Expired(at(100)) {
		t.Error("waits for itself")
	}
	if l := h.TaskLeasesExpiry(ownedBy("c")); !l.At.Equal(at(116)) {
		t.Errorf("by time: %v, want bound, lease and two margins after the read", l.At.Sub(origin))
	}
	h.RecordRelease("b", 6, at(102))
	if l := h.TaskLeasesExpiry(ownedBy("b")); !l.At.Equal(at(113)) {
		t.Errorf("released: %v, want lease and margin after the release", l.At.Sub(origin))
	}
	after.Unconfirmed = []UnconfirmedMember{{"b", 7}, {"c", 7}}
	after.Table.Epoch = 7
	h.ApplyTableChange(ownership.NewMap(before.Table), after, at(103))
	if l := h.TaskLeasesExpiry(ownedBy("c")); l.Expired(at(100000)) {
		t.Error("lapsed by time after a forced change")
	}
	h.ApplyTableChange(ownership.NewMap(stateOf(7, "a").Table), MembershipState{Table: stateOf(8, "a", "d").Table, Unconfirmed: after.Unconfirmed}, at(100000))
	if l := h.TaskLeasesExpiry(ownedBy("c")); l.Expired(at(200000)) {
		t.Error("the forced change was forgotten")
	}
	h.ConfirmStopped("c", at(200000))
	if l := h.TaskLeasesExpiry(ownedBy("c")); !l.Expired(at(200016)) || l.Expired(at(200000)) {
		t.Error("the operator's word did not settle it")
	}
}

func TestHandoverCountsWhatTheMemberRenewedItself(t *testing.T) {
	owners := map[int64]string{5: "a", 6: "b"}
	owner := func(m *ownership.Map) string { return owners[m.Epoch()] }
	h := NewHandover(testConfig, "a", MembershipState{}, at(0))
	h.RecordRelease("b", 7, at(99))
	h.ApplyTableChange(ownership.NewMap(stateOf(5, "a").Table), stateOf(6, "a", "b"), at(102))
	h.ApplyTableChange(ownership.NewMap(stateOf(6, "a", "b").Table), stateOf(7, "a"), at(102))
	if l := h.TaskLeasesExpiry(owner); !l.At.Equal(at(113)) {
		t.Errorf("lapse %v, want lease and margin after this member read that it lost the worker", l.At.Sub(origin))
	}
}

func TestWatch(t *testing.T) {
	w := NewFailureDetector("b", 3*time.Second)
	w.SetGroup([]string{"a", "b", "c"}, at(0))
	w.RecordMessage("c", at(2))
	if got := w.SilentMembers(at(3)); !slices.Equal(got, []string{"a"}) || !w.ShouldPropose(at(3)) || w.ShouldPropose(at(1)) {
		t.Errorf("silent %v", got)
	}
	if err := w.CheckRemovals(MembershipChange{Remove: []string{"c"}}, "a", at(3)); err == nil {
		t.Error("agreed to remove a member that was heard")
	}
	if err := w.CheckRemovals(MembershipChange{Remove: []string{"c"}}, "c", at(3)); err != nil {
		t.Errorf("refused a member's own leave: %v", err)
	}
	var g GoneTracker
	g.Observe([]string{"a"}, 2*time.Second, at(0))
	if g.IsGone("a", at(1)) || !g.IsGone("a", at(2)) {
		t.Error("want gone after the lag")
	}
	g.Observe(nil, 2*time.Second, at(3))
	g.Observe([]string{"a"}, 2*time.Second, at(4))
	if g.IsGone("a", at(5)) {
		t.Error("the time did not start anew")
	}
}
