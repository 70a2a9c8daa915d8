package state

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"

	"dotterelhitch/internal/structs"
)

// record encodes changes as one record.
func record(t *testing.T, changes ...Change) []byte {
	t.Helper()
	b, err := Encode(changes)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func classChange(id, name string, base int64) Change {
	return Change{ID: id, Type: ClassSet, Base: base, Class: &structs.Class{
		Name: name, Kind: structs.KindBatch, Target: structs.Target{StartWithin: 1},
	}}
}

func TestOfTwoRacingChangesOneWins(t *testing.T) {
	c := NewControlTable()
	if r := c.Apply(1, record(t, classChange("a", "x", 0))); !r[0].Accepted {
		t.Fatalf("first change refused: %v", r[0].Err)
	}
	for i, ch := range []Change{classChange("b", "x", 0), classChange("a", "x", 0)} {
		r := c.Apply(int64(2+i), record(t, ch))
		if r[0].Accepted || r[0].Err.Code != structs.CodeConflict {
			t.Errorf("change %s on an old base: %+v, want conflict", ch.ID, r[0])
		}
	}
	if v, _ := c.Class("x"); v.Version != 1 {
		t.Errorf("version %d, want 1", v.Version)
	}
	if r := c.Apply(4, record(t, classChange("c", "x", 1))); !r[0].Accepted || c.ConfigVersion() != 4 {
		t.Errorf("change on the current base: %+v, version %d", r[0], c.ConfigVersion())
	}
}

func TestLateRepeatsDoNothing(t *testing.T) {
	jobs := NewJobTable()
	job := func(id string) *structs.Job {
		return &structs.Job{ID: id, Class: "c", Team: "t", Count: 1, Size: structs.Resources{CPUMilli: 1}}
	}
	cancel := Change{ID: "cancel", Type: JobCancel, Base: 1, Filter: &structs.JobFilter{Team: "t"}}
	jobs.Apply(1, record(t, Change{ID: "1", Type: JobAccept, Job: job("g:1")}))
	jobs.Apply(2, record(t, cancel))
	jobs.Apply(3, record(t, Change{ID: "2", Type: JobAccept, Base: 2, Job: job("g:2")}))
	jobs.Apply(4, record(t, cancel))
	if !jobs.Get("g:1").Cancelled || jobs.Get("g:2").Cancelled {
		t.Error("the repeat of a cancellation must not reach a job accepted after its base")
	}
	for i := range endedKept + 1 {
		id := fmt.Sprintf("g:x%d", i)
		at := int64(5 + 2*i)
		jobs.Apply(at, record(t, Change{ID: id, Type: JobAccept, Base: at - 1, Job: job(id)}))
		jobs.Apply(at+1, record(t, Change{ID: id + "e", Type: TasksEnd, JobID: id, Ends: []TaskEnd{{State: structs.AllocComplete}}}))
	}
	r := jobs.Apply(jobs.NextOffset(), record(t, Change{ID: "1", Type: JobAccept, Job: job("g:1")}))
	if r[0].Accepted || jobs.Get("g:1") != nil {
		t.Error("a late repeat of a forgotten job's acceptance must not bring it back")
	}
}

// randomRecord returns a record of changes on few names, many of which lose.
func randomRecord(t *testing.T, rnd *rand.Rand, c *ControlTable) []byte {
	name := fmt.Sprintf("n%d", rnd.IntN(4))
	base := int64(0)
	if v, ok := c.Class(name); ok && rnd.IntN(3) > 0 {
		base = v.Version
	}
	leave := Change{ID: "l", Type: LeavingAdd, Base: c.LeavingVersion(name), Leaving: &structs.LeavingDeclaration{Instance: name}}
	if rnd.IntN(2) == 0 {
		leave.Type = LeavingRemove
	}
	quota := Change{ID: "q", Type: QuotaSet, Quota: &structs.Quota{Team: name, Limit: structs.Resources{CPUMilli: rnd.Int64N(9)}}}
	return record(t, classChange("c", name, base), leave, quota)
}

func TestSnapshotAndTheRestEqualTheWhole(t *testing.T) {
	for seed := range uint64(20) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		whole := NewControlTable()
		bridge := NewSnapshotRecovery(0)
		var restored *ControlTable
		for range 60 {
			offset := whole.NextOffset()
			data := randomRecord(t, rnd, whole)
			if rnd.IntN(20) == 0 && restored == nil {
				changes, err := SnapshotChanges("s", ControlSnapshotPart, whole.NextOffset(), whole.Snapshot())
				if err != nil {
					t.Fatal(err)
				}
				data = record(t, changes...)
				restored = bridge.AddControlRecord(data)
			}
			whole.Apply(offset, data)
			if restored != nil {
				restored.Apply(offset, data)
			}
		}
		if restored != nil && !reflect.DeepEqual(asJSON(t, whole.Snapshot()), asJSON(t, restored.Snapshot())) {
			t.Errorf("seed %d: the restored table differs", seed)
		}
	}
}

func asJSON(t *testing.T, v any) string {
	t.Helper()
	b, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
}

func FuzzApply(f *testing.F) {
	f.Add([]byte(`{"changes":[{"id":"a","type":"class_set","class":{"name":"x","kind":"batch","target":{"start_within":"1s"}}}]}`))
	f.Add([]byte(`{"changes":[{"id":"a","type":"membership","members":{"id":"a","base":0,"join":[{"id":"m","region":"r"}]}}]}`))
	f.Add([]byte(`{"changes":[{"id":"a","type":"job_accept","job":{"id":"g:1","class":"c","count":1,"size":{"cpu_milli":1}}}]}`))
	const setQuota = `{"changes":[{"type":"quota_set","groups":["a","b"],"quota":{"team":"t","limit":{"cpu_milli":9223372036854775807}}}`
	f.Add([]byte(setQuota + "]}"))
	f.Add([]byte(setQuota + `,{"type":"quota_set","base":1,"quota":{"team":"t","limit":{"cpu_milli":7}}},` +
		`{"type":"quota_move","base":1,"move":{"team":"t","from":"a","to":"c","amount":{"cpu_milli":2}}}]}`))
	f.Add([]byte(`{"changes":[{"type":"control_snapshot","part":{"snapshot":"s","next":9,"parts":1,"data":"aGk="}}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		control, jobs := NewControlTable(), NewJobTable()
		for _, r := range control.Apply(1, data) {
			if r.Accepted == (r.Err != nil) {
				t.Errorf("result %+v: accepted and error disagree", r)
			}
		}
		for _, q := range control.Quotas() {
			var sum structs.Resources
			for _, p := range control.QuotaParts(q.Team) {
				sum = sum.Add(p.Limit)
				if p.Limit.HasNegative() {
					t.Errorf("part %+v of %+v", p, q)
				}
			}
			if sum != q.Limit {
				t.Errorf("parts of %+v sum to %+v", q, sum)
			}
		}
		jobs.Apply(1, data)
		NewSnapshotRecovery(1).AddControlRecord(data)
		if control.NextOffset() != 2 || jobs.NextOffset() != 2 {
			t.Error("every record moves the reader on")
		}
	})
}
