package keyhome

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"dotterelhitch/internal/ownership"
	"dotterelhitch/internal/structs"
)

var (
	origin     = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	testLimits = Limits{
		MaxEntries: 100, MaxBytes: 1 << 20, MaxAnswerBytes: 16, Retention: 10 * time.Minute,
		DispatchWindow: 5 * time.Second, MaxRunTime: time.Minute, AuthorityBound: 5 * time.Second,
	}
)

func at(d time.Duration) time.Time { return origin.Add(d) }

// fixedRights are rights that a test sets.
type fixedRights struct {
	without bool
}

func (r *fixedRights) Holds(time.Time) bool { return !r.without }

func tableOf(epoch int64, ids ...string) *ownership.Map {
	t := ownership.Table{Epoch: epoch}
	for _, id := range ids {
		t.Members = append(t.Members, structs.Member{ID: id, Region: "r"})
	}
	return ownership.NewMap(t)
}

// cell is a set of stores at the same table, and a key with its holders.
type cell struct {
	stores map[string]*Store
	rights map[string]*fixedRights
	key    string
	home   *Store
	backup *Store
}

func newCell(ids ...string) *cell {
	c := &cell{stores: make(map[string]*Store), rights: make(map[string]*fixedRights), key: "ticket-1"}
	m := tableOf(1, ids...)
	for _, id := range ids {
		c.rights[id] = &fixedRights{}
		c.stores[id] = NewStore(id, testLimits, c.rights[id])
		c.stores[id].TableChanged(origin, m, true)
	}
	home, backup := m.HomeOfKey(c.key)
	c.home, c.backup = c.stores[home.ID], c.stores[backup.ID]
	return c
}

// permit runs a permit with its copy.
func (c *cell) permit(now time.Time, requestID, fingerprint string) Decision {
	d := c.home.Permit(now, c.key, requestID, fingerprint)
	if d.Kind != AwaitCopy {
		return d
	}
	if err := c.backup.ApplyCopy(now, d.Copy, 0); err != nil {
		return c.home.CopyFailed(now, d.Copy, err)
	}
	return c.home.CopyAcked(now, d.Copy)
}

func wantCode(t *testing.T, d Decision, code structs.Code) {
	t.Helper()
	if d.Kind != Refused || structs.CodeOf(d.Err) != code {
		t.Errorf("decision %d, %v; want refused with %s", d.Kind, d.Err, code)
	}
}

func TestPermitThenReplay(t *testing.T) {
	c := newCell("a", "b", "c")
	if d := c.permit(at(0), "r1", "f"); d.Kind != Granted || d.ValidFor != testLimits.DispatchWindow {
		t.Fatalf("first: %+v", d)
	}
	wantCode(t, c.permit(at(0), "r2", "f"), structs.CodeInProgress)
	wantCode(t, c.permit(at(0), "r2", "other"), structs.CodeKeyReused)
	if d := c.permit(at(time.Second), "r1", "f"); d.Kind != Granted || d.ValidFor != 4*time.Second {
		t.Errorf("the same request again: %+v", d)
	}
	wantCode(t, c.permit(at(testLimits.MaxRunTime), "r2", "f"), structs.CodeUnknown)
	answer := structs.Answer{RequestID: "r1", Outcome: structs.OutcomeAnswered, Body: []byte("no 7")}
	sent, err := c.home.Settle(at(time.Second), c.key, "r1", "f", answer)
	if err != nil || sent == nil || c.backup.ApplyCopy(at(time.Second), sent, 0) != nil {
		t.Fatalf("settle: %v, %v", sent, err)
	}
	if d := c.permit(at(time.Minute), "r3", "f"); d.Kind != Replay || !bytes.Equal(d.Answer.Body, answer.Body) {
		t.Errorf("repeat: %+v", d)
	}
	c.home.Expire(at(testLimits.Retention))
	if c.home.Len() != 0 {
		t.Error("the entry was not dropped after the retention")
	}
}

func TestOutcomes(t *testing.T) {
	for _, o := range []struct {
		outcome structs.Outcome
		body    string
		want    DecisionKind
		code    structs.Code
	}{
		{structs.OutcomeNotRun, "", Granted, ""},
		{structs.OutcomeUnknown, "", Refused, structs.CodeUnknown},
		{structs.OutcomeAnswered, "an answer that is too long to keep", Replay, ""},
	} {
		c := newCell("a", "b")
		c.permit(at(0), "r1", "f")
		_, err := c.home.Settle(at(0), c.key, "r1", "f", structs.Answer{Outcome: o.outcome, Body: []byte(o.body)})
		if err != nil {
			t.Fatal(err)
		}
		d := c.permit(at(0), "r2", "f")
		if d.Kind != o.want || structs.CodeOf(d.Err) != o.code {
			t.Errorf("after %s: %+v", o.outcome, d)
		}
		if d.Kind == Replay && (d.Answer.Body != nil || d.Answer.Err == nil || d.Answer.Err.Code != structs.CodeTooLarge) {
			t.Errorf("a body that was not kept: %+v", d.Answer)
		}
	}
}

func TestRefusals(t *testing.T) {
	c := newCell("a", "b", "c")
	wantCode(t, c.backup.Permit(at(0), c.key, "r", "f"), structs.CodeNotOwner)
	wantCode(t, c.home.Permit(at(0), "", "r", "f"), structs.CodeInvalid)
	c.rights[c.home.self].without = true
	wantCode(t, c.permit(at(0), "r", "f"), structs.CodeNoAuthority)
	c.rights[c.home.self].without = false
	if d := c.permit(at(0), "r", "f"); d.Kind != Granted {
		t.Errorf("with authority: %+v", d)
	}
	small := testLimits
	small.MaxEntries = 1
	c.home.limits = small
	d := Decision{}
	for i := 0; i < 100 && d.Kind == Refused && structs.CodeOf(d.Err) != structs.CodeOverload; i++ {
		d = c.home.Permit(at(4*time.Second), fmt.Sprintf("k%d", i), "r", "f")
	}
	wantCode(t, d, structs.CodeOverload)
}

func TestAuthorityIsCheckedAgainAfterTheCopy(t *testing.T) {
	c := newCell("a", "b")
	d := c.home.Permit(at(0), c.key, "r1", "f")
	c.rights[c.home.self].without = true
	wantCode(t, c.home.CopyAcked(at(time.Second), d.Copy), structs.CodeNoAuthority)
	c.rights[c.home.self].without = false
	if again := c.permit(at(2*time.Second), "r2", "f"); again.Kind != Granted {
		t.Errorf("the key was not free again: %+v", again)
	}
	if err := c.backup.ApplyCopy(at(3*time.Second), d.Copy, 0); structs.CodeOf(err) != structs.CodeConflict {
		t.Errorf("a late copy of an older state: %v", err)
	}
}

func TestTableChangeAbandonsTheCopy(t *testing.T) {
	c := newCell("a", "b")
	d := c.home.Permit(at(0), c.key, "r1", "f")
	c.backup.TableChanged(at(0), tableOf(2, "a", "b", "x"), false)
	if err := c.backup.ApplyCopy(at(0), d.Copy, 0); structs.CodeOf(err) != structs.CodeStaleEpoch {
		t.Errorf("a member at a newer epoch kept the copy: %v", err)
	}
	c.home.TableChanged(at(0), tableOf(2, "a", "b", "x"), false)
	wantCode(t, c.home.CopyAcked(at(0), d.Copy), structs.CodeStaleEpoch)
}

func TestBackupTakesOver(t *testing.T) {
	c := newCell("a", "b")
	c.permit(at(0), "r1", "f")
	lost, left := c.home, c.backup
	left.TableChanged(at(time.Second), tableOf(2, left.self), false)
	c.home, c.backup = left, lost
	wantCode(t, c.permit(at(time.Second), "r2", "f"), structs.CodeInProgress)
	wantCode(t, c.permit(at(time.Minute), "r2", "f"), structs.CodeUnknown)
	c.key = "ticket-2"
	if d := c.permit(at(time.Second), "r3", "f"); d.Kind != Granted {
		t.Errorf("a key that the backup never saw: %+v", d)
	}
}

func TestStrangerKnowsNothingUntilItIsTold(t *testing.T) {
	c := newCell("a", "b")
	c.permit(at(0), "r1", "f")
	m := tableOf(2, "x", "y")
	x := NewStore("x", testLimits, &fixedRights{})
	x.TableChanged(at(0), m, false)
	y := NewStore("y", testLimits, &fixedRights{})
	y.TableChanged(at(0), m, false)
	home, backup := m.HomeOfKey(c.key)
	stores := map[string]*Store{"x": x, "y": y}
	old := c.home
	c.home, c.backup = stores[home.ID], stores[backup.ID]
	wantCode(t, c.permit(at(0), "r2", "f"), structs.CodeUnknown)

	old.TableChanged(at(0), m, false)
	for _, transfer := range old.PendingTransfers(at(0)) {
		if err := stores[transfer.To].ApplyTransfer(at(0), transfer, func(int, int) time.Duration { return 0 }); err != nil {
			t.Fatal(err)
		}
		old.TransferAcked(transfer)
	}
	if !old.Drained() {
		t.Error("the old home is not drained")
	}
	wantCode(t, c.permit(at(0), "r2", "f"), structs.CodeInProgress)
	for i := 0; c.key == "ticket-1"; i++ {
		if other := fmt.Sprintf("k%d", i); ownership.PartitionOf(other) == ownership.PartitionOf("ticket-1") {
			c.key = other
		}
	}
	if d := c.permit(at(0), "r4", "f"); d.Kind != Granted {
		t.Errorf("a new key of a partition that was handed over: %+v", d)
	}
}

func TestCertainAfterTheRetention(t *testing.T) {
	x := NewStore("x", testLimits, &fixedRights{})
	x.TableChanged(at(0), tableOf(2, "x"), false)
	wait := testLimits.AuthorityBound + testLimits.Retention
	x.Expire(at(wait - time.Second))
	wantCode(t, x.Permit(at(wait-time.Second), "k", "r", "f"), structs.CodeUnknown)
	x.Expire(at(wait))
	if d := x.Permit(at(wait), "k", "r", "f"); d.Kind != Granted {
		t.Errorf("after authority and retention: %+v", d)
	}
}

func TestSkippedTablesLeaveNothingCertain(t *testing.T) {
	c := newCell("a", "b")
	c.home.TablesSkipped()
	c.home.TableChanged(at(0), tableOf(9, c.home.self), false)
	wantCode(t, c.permit(at(0), "r", "f"), structs.CodeUnknown)
}
