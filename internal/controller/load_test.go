package controller

import (
	"encoding/json"
	"slices"
	"testing"

	"dotterelhitch/internal/event"
	"dotterelhitch/internal/structs"
	"dotterelhitch/internal/workload"
)

// TestUnreadableRecordsAreLeftAlone loads a store in which some records are damaged. They used to end
// the term of each controller that read them. The others must be loaded, and nothing may be started
// or stored for a job of which a record can't be read.
func TestUnreadableRecordsAreLeftAlone(t *testing.T) {
	sim := newSimulation(t, 1)
	alarms := 0
	ctl := New(5, sim.timing, func(e event.Event) {
		if e.Type == event.Alarm {
			alarms++
		}
	})
	ctl.SetConfig(sim.config, sim.now)
	encode := func(id string, edit func(*workload.Job)) []byte {
		job := simpleJob(id, "batch", 2, 1000, nil)
		if edit != nil {
			edit(job)
		}
		b, err := json.Marshal(job)
		if err != nil {
			t.Fatal(err)
		}
		return b
	}
	ctl.Load([]Record{
		{Key: jobPrefix + "sound", Value: encode("sound", nil)},
		{Key: progressPrefix + "sound", Value: []byte(`{"steps":[{"tasks":[{"index":-1},{"index":9}]}]}`)},
		{Key: jobPrefix + "cut", Value: encode("cut", nil)[:20]},
		{Key: progressPrefix + "cut", Value: []byte(`{}`)},
		{Key: jobPrefix + "no-progress", Value: encode("no-progress", nil)},
		{Key: progressPrefix + "no-progress", Value: []byte(`[1`)},
		{Key: jobPrefix + "other-name", Value: encode("x", nil)},
		{Key: jobPrefix + "cyclic", Value: encode("cyclic", func(j *workload.Job) { j.Steps[0].DependsOn = []int{7} })},
		{Key: workerPrefix + "i-1", Value: []byte(`}`)},
		{Key: predecessorsEndedKey, Value: []byte(`"x"`)},
	}, sim.now)
	if alarms != 6 {
		t.Errorf("%d alarms, want one for each of 6 damaged records", alarms)
	}
	if state, known := ctl.JobState("sound"); !known || state != workload.JobQueued {
		t.Errorf("the sound job is %q", state)
	}
	for _, id := range []string{"cut", "no-progress", "other-name", "cyclic"} {
		if !ctl.Unreadable(id) {
			t.Errorf("job %s does not count as unreadable", id)
		}
		if _, err := ctl.Submit(simpleJob(id, "batch", 1, 1000, nil), sim.now); structs.CodeOf(err) != structs.CodeInternal {
			t.Errorf("job %s was submitted over its stored record: %v", id, err)
		}
	}
	ctl.ConfirmEpoch(sim.now)
	ctl.NextOrders(sim.now)
	for b := ctl.NextBatch(); b != nil; b = ctl.NextBatch() {
		for _, r := range b.Records {
			if slices.Contains([]string{"cut", "no-progress", "other-name", "cyclic"}, r.Key[len(jobPrefix):]) {
				t.Errorf("a record was written over the damaged one: %s", r.Key)
			}
		}
		ctl.BatchStored(b, sim.now)
	}
	if w := ctl.workers["i-1"]; w == nil || w.accountedFor {
		t.Error("the worker with a damaged record counts as unused")
	}
}
