package workload

import (
	"math"
	"strings"
	"testing"

	"dotterelhitch/internal/structs"
)

// TestTeamsRefuseWhatIsAmbiguous guards against a key that lets a caller act for either of two teams, and against
// quotas and weights without a meaning.
func TestTeamsRefuseWhatIsAmbiguous(t *testing.T) {
	good := Team{Name: "north", Weight: 3, Quota: structs.Resources{CPUMilli: 100}}
	for name, c := range map[string]struct {
		team Team
		keys []string
	}{
		"no name":            {Team{Weight: 1}, []string{"k"}},
		"listed twice":       {Team{Name: "north"}, nil},
		"empty key":          {Team{Name: "south"}, []string{"k", ""}},
		"key of two teams":   {Team{Name: "south"}, []string{"secret-1"}},
		"negative weight":    {Team{Name: "south", Weight: -1}, nil},
		"weight not finite":  {Team{Name: "south", Weight: math.Inf(1)}, nil},
		"weight not defined": {Team{Name: "south", Weight: math.NaN()}, nil},
		"negative quota":     {Team{Name: "south", Quota: structs.Resources{MemoryMiB: -1}}, nil},
	} {
		teams := &Teams{}
		if err := teams.Add(&good, []string{"secret-1", "secret-2"}); err != nil {
			t.Fatal(err)
		}
		err := teams.Add(&c.team, c.keys)
		if structs.CodeOf(err) != structs.CodeInvalid {
			t.Errorf("%s: %v", name, err)
		}
		if err != nil && strings.Contains(err.Error(), "secret") {
			t.Errorf("%s: the message has a key: %v", name, err)
		}
		if teams.Len() != 1 || teams.ByKey("secret-1").Name != "north" {
			t.Errorf("%s: the refused team changed the others", name)
		}
	}
}

// TestTeamWithoutKeys guards against a configuration that is refused because a team has lost its last key.
func TestTeamWithoutKeys(t *testing.T) {
	teams := &Teams{}
	if err := teams.Add(&Team{Name: "north"}, nil); err != nil {
		t.Fatal(err)
	}
	if teams.ByName("north") == nil || teams.ByKey("") != nil {
		t.Errorf("%+v", teams)
	}
}
