package workload

import (
	"math"

	"dotterelhitch/internal/structs"
)

// Team is an organisational unit on whose behalf callers submit jobs.
type Team struct {
	// Name identifies the team in all versions of the configuration.
	Name string `json:"name"`
	// Weight is the team's part of the capacity, relative to the weights of the other teams, while
	// the capacity does not suffice for all.
	Weight float64 `json:"weight,omitempty"`
	// Quota is the most that the team's tasks may hold together on all workers. A component of zero
	// means no limit.
	Quota structs.Resources `json:"quota,omitzero"`
}

// maxTeamWeight is the largest weight of a team, so that the sum of the weights of all teams stays finite.
const maxTeamWeight = 1e12

// Teams are the teams of a configuration, with the keys that their callers present.
type Teams struct {
	byName map[string]*Team
	byKey  map[string]*Team
}

// Add adds a team and its keys. The error has CodeInvalid if the name or a key is empty or belongs to another
// team, or if the weight or the quota is out of range.
func (t *Teams) Add(team *Team, keys []string) error {
	if err := team.validate(); err != nil {
		return err
	}
	if t.byName[team.Name] != nil {
		return structs.NewError(structs.CodeInvalid, "team %q: listed twice", team.Name)
	}
	for _, key := range keys {
		if key == "" {
			return structs.NewError(structs.CodeInvalid, "team %q: an empty key", team.Name)
		}
		if other := t.byKey[key]; other != nil {
			// The key itself is a secret and does not go into logs.
			return structs.NewError(structs.CodeInvalid, "team %q: one of its keys belongs to team %q as well", team.Name, other.Name)
		}
	}
	if t.byName == nil {
		t.byName = map[string]*Team{}
		t.byKey = map[string]*Team{}
	}
	t.byName[team.Name] = team
	for _, key := range keys {
		t.byKey[key] = team
	}
	return nil
}

func (t *Team) validate() error {
	switch {
	case t.Name == "":
		return structs.NewError(structs.CodeInvalid, "a team without a name")
	case math.IsNaN(t.Weight) || t.Weight < 0 || t.Weight > maxTeamWeight:
		return structs.NewError(structs.CodeInvalid, "team %q: weight %v: want 0 to %v", t.Name, t.Weight, float64(maxTeamWeight))
	case t.Quota.HasNegative():
		return structs.NewError(structs.CodeInvalid, "team %q: quota of %v: want no negative amounts", t.Name, t.Quota)
	}
	return nil
}

// ByName returns a team, nil if there is none of that name.
func (t *Teams) ByName(name string) *Team {
	if t == nil {
		return nil
	}
	return t.byName[name]
}

// ByKey returns the team to which a key belongs, nil if there is none.
func (t *Teams) ByKey(key string) *Team {
	if t == nil {
		return nil
	}
	return t.byKey[key]
}

// Len returns the number of teams.
func (t *Teams) Len() int {
	if t == nil {
		return 0
	}
	return len(t.byName)
}
