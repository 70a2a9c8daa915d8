package authority

import (
	"slices"
	"testing"
	"time"

	"dotterelhitch/internal/ownership"
	"dotterelhitch/internal/structs"
)

var (
	testConfig = Config{Bound: 4 * time.Second, Margin: time.Second, Lease: 10 * time.Second}
	origin     = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
)

func at(seconds int) time.Time { return origin.Add(time.Duration(seconds) * time.Second) }

func stateOf(epoch int64, ids ...string) State {
	t := ownership.Table{Epoch: epoch}
	for _, id := range ids {
		t.Members = append(t.Members, structs.Member{ID: id, Region: "r"})
	}
	return State{Table: t}
}

func TestQuorumsIntersect(t *testing.T) {
	for n := 1; n <= ownership.MaxGroup; n++ {
		group := make([]string, n)
		in := func(set int) func(int) bool { return func(i int) bool { return set>>i&1 == 1 } }
		for a := range 1 << n {
			if Quorum(group, in(a)) && Quorum(group, in(1<<n-1-a)) {
				t.Fatalf("%d members: %b and the rest are both quorums", n, a)
			}
		}
	}
}

func newPair(group ...string) (*Authority, *Attester) {
	attester := NewAttester(testConfig, at(0))
	attester.TableChanged(5, true)
	a := New(testConfig, "a", attester)
	a.TableChanged(5, group)
	return a, attester
}

func TestAuthorityCountsFromTheStartOfTheRead(t *testing.T) {
	a, attester := newPair("a", "b", "c")
	a.ObserveTail(TailRead{Start: at(10), Next: 8, Applied: 7, Epoch: 5})
	if !a.Holds(at(13)) || a.Holds(at(14)) {
		t.Error("want authority until 4 s after the start of the read")
	}
	if !a.Since(at(13)).Equal(at(10)) || !a.Since(at(14)).IsZero() {
		t.Error("want proof as of the start of the read, none without authority")
	}
	for _, read := range []TailRead{
		{Start: at(20), Next: 9, Applied: 7, Epoch: 5},
		{Start: at(20), Next: 8, Applied: 7, Epoch: 4},
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
	if got := a.NeedAttest(at(1)); !slices.Equal(got, []string{"b", "c", "d", "e"}) {
		t.Errorf("to ask: %v", got)
	}
	a.ObserveAttestation("b", 5, at(1))
	a.ObserveAttestation("c", 4, at(2))
	if a.Holds(at(2)) {
		t.Error("two of five, and one of another epoch, gave authority")
	}
	a.ObserveAttestation("c", 5, at(2))
	if got := a.Until(at(2)); !got.Equal(at(5)) {
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
	b.TableChanged(5, []string{"a", "b"})
	if b.Holds(at(1)) {
		t.Error("the other of two must not hold alone")
	}
}

func TestAttesterAnswers(t *testing.T) {
	m := NewAttester(testConfig, at(0))
	if m.Answer(0) != Refused {
		t.Error("a member outside the table attested")
	}
	m.TableChanged(5, true)
	if m.Answer(5) != Attested || m.Answer(4) != HandOver || m.Answer(6) != Behind {
		t.Error("wrong answer for an equal, older or newer epoch")
	}
	m.Tick(at(3))
	m.Tick(at(8))
	if m.Answer(5) != Refused {
		t.Error("attested after a pause longer than the bound")
	}
	m.ObserveTail(TailRead{Start: at(7), Next: 6, Applied: 5, Epoch: 5})
	if m.Answer(5) != Refused {
		t.Error("a read that began before the end of the pause ended the wait")
	}
	m.ObserveTail(TailRead{Start: at(9), Next: 6, Applied: 5, Epoch: 5})
	if m.Answer(5) != Attested {
		t.Error("a read did not end the wait")
	}
	if structs.CodeOf(m.Consent(4)) != structs.CodeConflict || structs.CodeOf(m.Consent(6)) != structs.CodeBehind {
		t.Error("consented to a change of another epoch")
	}
	if err := m.Consent(5); err != nil {
		t.Fatal(err)
	}
	m.ObserveTail(TailRead{Start: at(10), Next: 6, Applied: 5, Epoch: 5})
	if m.Answer(5) != Refused {
		t.Error("a read freed a member that consented")
	}
	m.TableChanged(7, true)
	if m.Answer(7) != Attested {
		t.Error("a new epoch did not free the member")
	}
}

func TestApply(t *testing.T) {
	three := stateOf(5, "a", "b", "c")
	d := []structs.Member{{ID: "d", Region: "r"}}
	for _, c := range []struct {
		name   string
		change Change
		want   structs.Code
	}{
		{"join with a quorum", Change{Base: 5, Join: d, Consents: []string{"a", "c"}}, ""},
		{"join without", Change{Base: 5, Join: d, Consents: []string{"a"}}, structs.CodeInvalid},
		{"old base", Change{Base: 4, Join: d, Consents: []string{"a", "b"}}, structs.CodeConflict},
		{"removes a stranger", Change{Base: 5, Remove: []string{"x"}, Consents: []string{"a", "b"}}, structs.CodeInvalid},
		{"joins twice", Change{Base: 5, Join: append(d, d...), Consents: []string{"a", "b"}}, structs.CodeInvalid},
		{"forced", Change{Base: 5, Remove: []string{"b", "c"}, Consents: []string{"a"}, Forced: true, Gone: []string{"b", "c"}}, ""},
		{"gone but a quorum is left", Change{Base: 5, Remove: []string{"c"}, Consents: []string{"a"}, Forced: true, Gone: []string{"c"}}, structs.CodeInvalid},
		{"gone but not forced", Change{Base: 5, Remove: []string{"b", "c"}, Consents: []string{"a"}, Gone: []string{"b", "c"}}, structs.CodeInvalid},
		{"gone but kept", Change{Base: 5, Remove: []string{"b"}, Consents: []string{"a"}, Forced: true, Gone: []string{"b", "c"}}, structs.CodeInvalid},
		{"epoch only", Change{Base: 5}, ""},
	} {
		next, err := Apply(three, 9, c.change)
		if structs.CodeOf(err) != c.want {
			t.Errorf("%s: error %v, want code %q", c.name, err, c.want)
		}
		if err == nil && next.Table.Epoch != 9 || err != nil && next.Table.Epoch != 5 {
			t.Errorf("%s: epoch %d", c.name, next.Table.Epoch)
		}
	}
}

func TestProposalForcedOnlyWithoutAQuorum(t *testing.T) {
	p, err := NewProposal(stateOf(5, "a", "b", "c"), Change{ID: "1", Remove: []string{"b", "c"}})
	if err != nil {
		t.Fatal(err)
	}
	p.CountGone("c")
	p.Consented("a")
	if _, ready := p.Ready(); ready {
		t.Error("ready although b may still consent")
	}
	p.CountGone("b")
	c, ready := p.Ready()
	if !ready || !c.Forced {
		t.Fatalf("ready %v, %+v", ready, c)
	}
	next, err := Apply(stateOf(5, "a", "b", "c"), 6, c)
	if err != nil || len(next.Doubtful) != 3 {
		t.Errorf("after the forced change: %+v, %v", next, err)
	}
}

func TestHandover(t *testing.T) {
	before := stateOf(5, "a", "b", "c")
	after := stateOf(6, "a", "b")
	ownedBy := func(id string) func(*ownership.Map) string {
		return func(*ownership.Map) string { return id }
	}
	h := NewHandover(testConfig, "a", State{}, at(0))
	h.TableChanged(ownership.NewMap(before.Table), after, at(100))
	if l := h.TasksLapse(ownedBy("a")); !l.Over(at(100)) {
		t.Error("waits for itself")
	}
	if l := h.TasksLapse(ownedBy("c")); !l.At.Equal(at(116)) {
		t.Errorf("by time: %v, want bound, lease and two margins after the read", l.At.Sub(origin))
	}
	h.Released("b", 6, at(102))
	if l := h.TasksLapse(ownedBy("b")); !l.At.Equal(at(113)) {
		t.Errorf("released: %v, want lease and margin after the release", l.At.Sub(origin))
	}
	after.Doubtful = []Doubt{{"b", 7}, {"c", 7}}
	after.Table.Epoch = 7
	h.TableChanged(ownership.NewMap(before.Table), after, at(103))
	if l := h.TasksLapse(ownedBy("c")); l.Over(at(100000)) {
		t.Error("lapsed by time after a forced change")
	}
	h.TableChanged(ownership.NewMap(stateOf(7, "a").Table), State{Table: stateOf(8, "a", "d").Table, Doubtful: after.Doubtful}, at(100000))
	if l := h.TasksLapse(ownedBy("c")); l.Over(at(200000)) {
		t.Error("the forced change was forgotten")
	}
	h.DeclaredGone("c", at(200000))
	if l := h.TasksLapse(ownedBy("c")); !l.Over(at(200016)) || l.Over(at(200000)) {
		t.Error("the operator's word did not settle it")
	}
}

func TestHandoverCountsWhatTheMemberRenewedItself(t *testing.T) {
	owners := map[int64]string{5: "a", 6: "b"}
	owner := func(m *ownership.Map) string { return owners[m.Epoch()] }
	h := NewHandover(testConfig, "a", State{}, at(0))
	h.Released("b", 7, at(99))
	h.TableChanged(ownership.NewMap(stateOf(5, "a").Table), stateOf(6, "a", "b"), at(102))
	h.TableChanged(ownership.NewMap(stateOf(6, "a", "b").Table), stateOf(7, "a"), at(102))
	if l := h.TasksLapse(owner); !l.At.Equal(at(113)) {
		t.Errorf("lapse %v, want lease and margin after this member read that it lost the worker", l.At.Sub(origin))
	}
}

func TestWatch(t *testing.T) {
	w := NewWatch("b", 3*time.Second)
	w.TableChanged([]string{"a", "b", "c"}, at(0))
	w.Heard("c", at(2))
	if got := w.Silent(at(3)); !slices.Equal(got, []string{"a"}) || !w.Proposes(at(3)) || w.Proposes(at(1)) {
		t.Errorf("silent %v", got)
	}
	if err := w.Agrees(Change{Remove: []string{"c"}}, "a", at(3)); err == nil {
		t.Error("agreed to remove a member that was heard")
	}
	if err := w.Agrees(Change{Remove: []string{"c"}}, "c", at(3)); err != nil {
		t.Errorf("refused a member's own leave: %v", err)
	}
	var g GoneList
	g.Observe([]string{"a"}, 2*time.Second, at(0))
	if g.Gone("a", at(1)) || !g.Gone("a", at(2)) {
		t.Error("want gone after the lag")
	}
	g.Observe(nil, 2*time.Second, at(3))
	g.Observe([]string{"a"}, 2*time.Second, at(4))
	if g.Gone("a", at(5)) {
		t.Error("the time did not start anew")
	}
}
