package controller

import (
	"testing"
	"time"

	"dotterelhitch/internal/structs"
	"dotterelhitch/internal/workload"
)

// TestJobOfARemovedTeam guards against jobs that run on behalf of a team that the controller's newer configuration
// does not have, and against accepted jobs that lose their quota when the team is removed.
func TestJobOfARemovedTeam(t *testing.T) {
	quota := structs.Resources{CPUMilli: 4000}
	teams := &workload.Teams{}
	if err := teams.Add(&workload.Team{Name: "north", Quota: quota}, []string{"k"}); err != nil {
		t.Fatal(err)
	}
	cfg := &workload.Config{Version: 1, Classes: map[string]*workload.Class{"batch": {Name: "batch"}}, Teams: teams}
	now := time.Now()
	c := New(1, Timing{}, nil)
	c.SetConfig(cfg, now)
	submit := func(id string) error {
		_, err := c.Submit(&workload.Job{ID: id, Class: "batch", Team: "north", Steps: []workload.Step{{Count: 1}}}, now)
		return err
	}
	if err := submit("j1"); err != nil {
		t.Fatal(err)
	}
	c.SetConfig(&workload.Config{Version: 2, Classes: cfg.Classes, Teams: &workload.Teams{}}, now)
	if got := c.jobs["j1"].team; got == nil || got.Quota != quota {
		t.Errorf("team of the accepted job: %+v", got)
	}
	if err := submit("j2"); structs.CodeOf(err) != structs.CodeUnauthorized || c.HasJob("j2") {
		t.Errorf("new job of the removed team: %v", err)
	}
}
