package leaderlease

import (
	"slices"
	"strings"
	"testing"
	"time"
)

func nodeSet(names string) map[string]bool {
	out := map[string]bool{}
	for _, name := range strings.Fields(names) {
		out[name] = true
	}
	return out
}

// TestSuccessorWaitsForItsPredecessorsShortLease guards against tasks that wait for Timing.MaxLease after
// the loss of a controller whose witnesses follow the next one.
func TestSuccessorWaitsForItsPredecessorsShortLease(t *testing.T) {
	fencedAt := time.Unix(1000, 0)
	short, long := expiry(fencedAt, walkTiming.Lease), fencedAt.Add(walkTiming.MaxLease)
	sets := func(nodes ...string) []WitnessSet { return []WitnessSet{{Epoch: 7, Nodes: nodes}} }
	for name, c := range map[string]struct {
		record      Record
		endedBefore int64
		old         bool // the predecessor does not keep to this package
		follow      string
		want        time.Time
	}{
		"no witnesses stored":           {endedBefore: 7, want: short},
		"two of five follow":            {Record{Epoch: 7, Sets: sets("a", "b", "c", "d", "e")}, 7, false, "a b", short},
		"one of five follows":           {Record{Epoch: 7, Sets: sets("a", "b", "c", "d", "e")}, 7, false, "a", long},
		"others than the witnesses":     {Record{Epoch: 7, Sets: sets("a", "b")}, 7, false, "c d", long},
		"one of two follows":            {Record{Epoch: 7, Sets: sets("a", "b")}, 7, false, "a", short},
		"a set without witnesses":       {Record{Epoch: 7, Sets: sets()}, 7, false, "a b c", long},
		"an earlier program":            {Record{Epoch: 7, Sets: sets("a", "b")}, 7, true, "a b", long},
		"others before, not listed":     {Record{Epoch: 7, From: 7, Sets: sets("a", "b")}, 5, false, "a b", long},
		"others before, listed":         {Record{Epoch: 7, From: 5, Sets: sets("a", "b")}, 5, false, "a b", short},
		"no record, others before":      {Record{}, 5, false, "a b", long},
		"the record of another epoch":   {Record{Epoch: 6, Sets: sets("a")}, 5, false, "a b", long},
		"a set of one known to be gone": {Record{Epoch: 7, Sets: []WitnessSet{{Epoch: 5, Nodes: []string{"x"}}}}, 7, false, "", short},
	} {
		t.Run(name, func(t *testing.T) {
			p := NewPredecessors(walkTiming, fencedAt, c.record, c.endedBefore, Predecessor{Epoch: 7, UsesWitnesses: !c.old})
			for node := range nodeSet(c.follow) {
				p.Follows(node, fencedAt)
			}
			if got := p.Expiry(); !got.Equal(c.want) {
				t.Errorf("the predecessors' leases expire %v after the fence, want %v", got.Sub(fencedAt), c.want.Sub(fencedAt))
			}
		})
	}
}

// TestRenewalNeedsTheWitnessesOfEachSetInTheStore guards against a lease that is renewed by witnesses of
// which the successor does not know, since it read the set before or after.
func TestRenewalNeedsTheWitnessesOfEachSetInTheStore(t *testing.T) {
	start := time.Unix(1000, 0)
	h := NewHolder(walkTiming)
	h.Confirm(start)
	h.Propose(WitnessSet{Epoch: 7, Nodes: []string{"a", "b"}})
	first := h.Proposed()
	h.Storing(first)
	if h.RenewByWitnesses(start.Add(time.Second), nodeSet("a b")) {
		t.Error("renewed before a set is stored")
	}
	h.Stored(first)
	if !h.RenewByWitnesses(start.Add(time.Second), nodeSet("a b")) {
		t.Error("not renewed by the stored set")
	}
	h.Propose(WitnessSet{Epoch: 7, Nodes: []string{"b", "c"}})
	second := h.Proposed()
	h.Storing(second)
	for _, follows := range []string{"a b", "b c"} {
		if h.RenewByWitnesses(start.Add(2*time.Second), nodeSet(follows)) {
			t.Errorf("renewed by %q while the second set is being stored", follows)
		}
	}
	if got := h.Witnesses(); !slices.Equal(got, []string{"a", "b", "c"}) {
		t.Errorf("asks %v while the second set is being stored", got)
	}
	h.Stored(second)
	h.Stored(first)
	if !h.RenewByWitnesses(start.Add(2*time.Second), nodeSet("b c")) {
		t.Error("not renewed by the second set once it is stored")
	}
}

// TestRenewalNeedsBothSetsUntilTheSecondIsStored guards against a set that is forgotten when an earlier one
// turns out to be stored: the successor may read either.
func TestRenewalNeedsBothSetsUntilTheSecondIsStored(t *testing.T) {
	start := time.Unix(1000, 0)
	h := NewHolder(walkTiming)
	var sets []*WitnessSet
	for _, nodes := range []string{"a b", "c d"} {
		h.Propose(WitnessSet{Epoch: 7, Nodes: strings.Fields(nodes)})
		sets = append(sets, h.Proposed())
		h.Storing(h.Proposed())
	}
	h.Stored(sets[0])
	for follows, want := range map[string]bool{"a b": false, "c d": false, "a b c d": true} {
		if got := h.RenewByWitnesses(start, nodeSet(follows)); got != want {
			t.Errorf("renewed by %q: %v", follows, got)
		}
	}
}

// TestRecordNamesThePredecessorsIfAllAreKnown guards against a successor that relies on a record which
// leaves out a controller that may still act.
func TestRecordNamesThePredecessorsIfAllAreKnown(t *testing.T) {
	before := WitnessSet{Epoch: 7, Nodes: []string{"a", "b"}}
	own := WitnessSet{Epoch: 8, Nodes: []string{"c"}}
	for name, c := range map[string]struct {
		last Predecessor
		from int64
		sets int
	}{
		"known":     {Predecessor{Epoch: 7, UsesWitnesses: true}, 7, 2},
		"not known": {Predecessor{Epoch: 7}, 8, 1},
	} {
		t.Run(name, func(t *testing.T) {
			p := NewPredecessors(walkTiming, time.Unix(1000, 0), Record{Epoch: 7, From: 7, Sets: []WitnessSet{before}}, 7, c.last)
			if r := p.Record(8, &own); r.Epoch != 8 || r.From != c.from || len(r.Sets) != c.sets {
				t.Errorf("the record is %+v", r)
			}
		})
	}
}

// TestWitnessesRenewNoLongerThanMaxLease guards against a lease that outlasts what a successor waits for
// if it reaches no witness.
func TestWitnessesRenewNoLongerThanMaxLease(t *testing.T) {
	start := time.Unix(1000, 0)
	h := NewHolder(walkTiming)
	h.Confirm(start)
	h.Propose(WitnessSet{Epoch: 7, Nodes: []string{"a"}})
	h.Storing(h.Proposed())
	h.Stored(h.Proposed())
	for at := time.Duration(0); at < 2*walkTiming.MaxLease; at += time.Second {
		h.RenewByWitnesses(start.Add(at), nodeSet("a"))
		if got, want := h.Valid(start.Add(at)), at < walkTiming.MaxLease; got != want {
			t.Errorf("%v after the last call of the store: valid %v", at, got)
		}
	}
}

// TestSelectWitnessesKeepsThoseAvailable checks that a change of one member changes one witness.
func TestSelectWitnessesKeepsThoseAvailable(t *testing.T) {
	for _, c := range []struct{ current, available, want string }{
		{"", "a b c d", "a b c"},
		{"b c d", "a b c d e", "b c d"},
		{"b c d", "a b d e", "a b d"},
		{"b c d", "", ""},
	} {
		got := SelectWitnesses(strings.Fields(c.current), strings.Fields(c.available), 3)
		if !slices.Equal(got, strings.Fields(c.want)) {
			t.Errorf("of %q after %q: %v, want %q", c.available, c.current, got, c.want)
		}
	}
}
