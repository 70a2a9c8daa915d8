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

func newState(epoch int64, ids ...string) MembershipState {
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

func newTestAuthority(group ...string) (*Authority, *Attester) {
	attester := NewAttester(testConfig, at(0))
	attester.SetTable(5, true)
	a := New(testConfig, "a", attester)
	a.SetTable(5, group)
	return a, attester
}

func TestAuthorityStartsAtBeginOfTailRead(t *testing.T) {
	a, attester := newTestAuthority("a", "b", "c")
	a.ObserveTail(TailRead{Start: at(10), NextOffset: 8, AppliedOffset: 7, Epoch: 5})
	if !a.Holds(at(13)) || a.Holds(at(14)) {
		t.Error("want authority exactly until 4 s after the start of the read")
	}
	if !a.ConfirmedAt(at(13)).Equal(at(10)) || !a.ConfirmedAt(at(14)).IsZero() {
		t.Error("want confirmation at the start of the read, and none without authority")
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
	a, attester := newTestAuthority("a", "b", "c", "d", "e")
	if got := a.AttestersToAsk(at(1)); !slices.Equal(got, []string{"b", "c", "d", "e"}) {
		t.Errorf("attesters to ask: %v", got)
	}
	a.ObserveAttestation("b", 5, at(1))
	a.ObserveAttestation("c", 4, at(2))
	if a.Holds(at(2)) {
		t.Error("attestations by two of five members at this epoch and one at another gave authority")
	}
	a.ObserveAttestation("c", 5, at(2))
	if got := a.ValidUntil(at(2)); !got.Equal(at(5)) {
		t.Errorf("valid until %v, want 4 s after the earlier of the two starts", got)
	}
	if err := attester.Consent(5); err != nil {
		t.Fatal(err)
	}
	if a.Holds(at(2)) {
		t.Error("a member that consented counted its own attestation")
	}
}

func TestTieGoesToHalfWithLowestID(t *testing.T) {
	a, _ := newTestAuthority("a", "b")
	if !a.Holds(at(1)) {
		t.Error("the member with the lower ID of two must have authority alone")
	}
	b := New(testConfig, "b", a.attester)
	b.SetTable(5, []string{"a", "b"})
	if b.Holds(at(1)) {
		t.Error("the member with the higher ID of two must not have authority alone")
	}
}

func TestAttesterResults(t *testing.T) {
	m := NewAttester(testConfig, at(0))
	if m.Attest(0) != AttestRefused {
		t.Error("a member outside the table attested")
	}
	m.SetTable(5, true)
	if m.Attest(5) != AttestGranted || m.Attest(4) != AttestCallerBehind || m.Attest(6) != AttestCalleeBehind {
		t.Error("wrong result for an equal, older or newer epoch")
	}
	m.Tick(at(3))
	m.Tick(at(8))
	if m.Attest(5) != AttestRefused {
		t.Error("attested after a pause longer than the authority validity")
	}
	m.ObserveTail(TailRead{Start: at(7), NextOffset: 6, AppliedOffset: 5, Epoch: 5})
	if m.Attest(5) != AttestRefused {
		t.Error("a read that began before the end of the pause permitted attestation")
	}
	m.ObserveTail(TailRead{Start: at(9), NextOffset: 6, AppliedOffset: 5, Epoch: 5})
	if m.Attest(5) != AttestGranted {
		t.Error("a read after the pause did not permit attestation")
	}
	if structs.CodeOf(m.Consent(4)) != structs.CodeConflict || structs.CodeOf(m.Consent(6)) != structs.CodeBehind {
		t.Error("consented to a change of another epoch")
	}
	if err := m.Consent(5); err != nil {
		t.Fatal(err)
	}
	m.ObserveTail(TailRead{Start: at(10), NextOffset: 6, AppliedOffset: 5, Epoch: 5})
	if m.Attest(5) != AttestRefused {
		t.Error("a read permitted attestation by a member that consented")
	}
	m.SetTable(7, true)
	if m.Attest(7) != AttestGranted {
		t.Error("a new epoch did not permit attestation")
	}
}

func TestApplyChange(t *testing.T) {
	three := newState(5, "a", "b", "c")
	d := []structs.Member{{ID: "d", Region: "r"}}
	for _, c := range []struct {
		name   string
		change MembershipChange
		want   structs.Code
	}{
		{"join with a quorum", MembershipChange{Base: 5, Join: d, Consents: []string{"a", "c"}}, ""},
		{"join without a quorum", MembershipChange{Base: 5, Join: d, Consents: []string{"a"}}, structs.CodeInvalid},
		{"old base", MembershipChange{Base: 4, Join: d, Consents: []string{"a", "b"}}, structs.CodeConflict},
		{"removes a member not in the table", MembershipChange{Base: 5, Remove: []string{"x"}, Consents: []string{"a", "b"}}, structs.CodeInvalid},
		{"joins a member twice", MembershipChange{Base: 5, Join: append(d, d...), Consents: []string{"a", "b"}}, structs.CodeInvalid},
		{"forced", MembershipChange{Base: 5, Remove: []string{"b", "c"}, Consents: []string{"a"}, Forced: true, ConfirmedGone: []string{"b", "c"}}, ""},
		{"counts a member as gone although a quorum is left", MembershipChange{Base: 5, Remove: []string{"c"}, Consents: []string{"a"}, Forced: true, ConfirmedGone: []string{"c"}}, structs.CodeInvalid},
		{"counts members as gone without being forced", MembershipChange{Base: 5, Remove: []string{"b", "c"}, Consents: []string{"a"}, ConfirmedGone: []string{"b", "c"}}, structs.CodeInvalid},
		{"counts a member as gone without removing it", MembershipChange{Base: 5, Remove: []string{"b"}, Consents: []string{"a"}, Forced: true, ConfirmedGone: []string{"b", "c"}}, structs.CodeInvalid},
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

func TestProposalForcedOnlyWithoutQuorum(t *testing.T) {
	p, err := NewProposal(newState(5, "a", "b", "c"), MembershipChange{ID: "1", Remove: []string{"b", "c"}})
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
	next, err := ApplyChange(newState(5, "a", "b", "c"), 6, c)
	if err != nil || len(next.Unconfirmed) != 3 {
		t.Errorf("after the forced change: %+v, %v", next, err)
	}
}

func TestHandoverExpiry(t *testing.T) {
	before := newState(5, "a", "b", "c")
	after := newState(6, "a", "b")
	ownedBy := func(id string) func(*ownership.Map) string {
		return func(*ownership.Map) string { return id }
	}
	h := NewHandover(testConfig, "a", MembershipState{}, at(0))
	h.ApplyTableChange(ownership.NewMap(before.Table), after, at(100))
	if l := h.TaskLeasesExpiry(ownedBy("a")); !l.Expired(at(100)) {
		t.Error("the member waits for its own permissions to expire")
	}
	if l := h.TaskLeasesExpiry(ownedBy("c")); !l.At.Equal(at(116)) {
		t.Errorf("without a release: %v, want validity, lease and two margins after the read", l.At.Sub(origin))
	}
	h.RecordRelease("b", 6, at(102))
	if l := h.TaskLeasesExpiry(ownedBy("b")); !l.At.Equal(at(113)) {
		t.Errorf("after a release: %v, want lease and margin after the release", l.At.Sub(origin))
	}
	after.Unconfirmed = []UnconfirmedMember{{"b", 7}, {"c", 7}}
	after.Table.Epoch = 7
	h.ApplyTableChange(ownership.NewMap(before.Table), after, at(103))
	if l := h.TaskLeasesExpiry(ownedBy("c")); l.Expired(at(100000)) {
		t.Error("permissions expired by time after a forced change")
	}
	h.ApplyTableChange(ownership.NewMap(newState(7, "a").Table), MembershipState{Table: newState(8, "a", "d").Table, Unconfirmed: after.Unconfirmed}, at(100000))
	if l := h.TaskLeasesExpiry(ownedBy("c")); l.Expired(at(200000)) {
		t.Error("permissions expired by time after a forced change and a later one")
	}
	h.ConfirmStopped("c", at(200000))
	if l := h.TaskLeasesExpiry(ownedBy("c")); !l.Expired(at(200016)) || l.Expired(at(200000)) {
		t.Error("want expiry only after the wait that follows the operator's confirmation")
	}
}

func TestHandoverCountsOwnLeaseRenewals(t *testing.T) {
	owners := map[int64]string{5: "a", 6: "b"}
	owner := func(m *ownership.Map) string { return owners[m.Epoch()] }
	h := NewHandover(testConfig, "a", MembershipState{}, at(0))
	h.RecordRelease("b", 7, at(99))
	h.ApplyTableChange(ownership.NewMap(newState(5, "a").Table), newState(6, "a", "b"), at(102))
	h.ApplyTableChange(ownership.NewMap(newState(6, "a", "b").Table), newState(7, "a"), at(102))
	if l := h.TaskLeasesExpiry(owner); !l.At.Equal(at(113)) {
		t.Errorf("expiry %v, want lease and margin after this member read that it lost the worker", l.At.Sub(origin))
	}
}

func TestFailureDetectorAndGoneTracker(t *testing.T) {
	d := NewFailureDetector("b", 3*time.Second)
	d.SetGroup([]string{"a", "b", "c"}, at(0))
	d.RecordMessage("c", at(2))
	if got := d.SilentMembers(at(3)); !slices.Equal(got, []string{"a"}) || !d.ShouldPropose(at(3)) || d.ShouldPropose(at(1)) {
		t.Errorf("silent members %v, or wrong proposer", got)
	}
	if err := d.CheckRemovals(MembershipChange{Remove: []string{"c"}}, "a", at(3)); err == nil {
		t.Error("consented to remove a member that has recently sent a message")
	}
	if err := d.CheckRemovals(MembershipChange{Remove: []string{"c"}}, "c", at(3)); err != nil {
		t.Errorf("refused a member's removal proposed by itself: %v", err)
	}
	var g GoneTracker
	g.Observe([]string{"a"}, 2*time.Second, at(0))
	if g.IsGone("a", at(1)) || !g.IsGone("a", at(2)) {
		t.Error("a member must count as gone exactly after the lag")
	}
	g.Observe(nil, 2*time.Second, at(3))
	g.Observe([]string{"a"}, 2*time.Second, at(4))
	if g.IsGone("a", at(5)) {
		t.Error("the time did not restart after the member was not shown as gone")
	}
}
