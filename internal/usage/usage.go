// Package usage accounts for the resources that runs hold on workers, by team and class. Quotas, fair shares and
// headroom are decided from this one account.
package usage

import "dotterelhitch/internal/structs"

// Owner identifies the team and the class whose usage a run adds to. The team is empty for a job without a team.
type Owner struct {
	Team  string
	Class string
}

// Account holds what may be running. A run counts from the moment it is placed until it has certainly ended. New
// returns an account; the zero value is not usable.
type Account struct {
	total   structs.Resources
	byOwner map[Owner]structs.Resources
	byTeam  map[string]structs.Resources
	byClass map[string]structs.Resources
}

// New returns an empty account.
func New() *Account {
	return &Account{
		byOwner: map[Owner]structs.Resources{},
		byTeam:  map[string]structs.Resources{},
		byClass: map[string]structs.Resources{},
	}
}

// Add counts a run.
func (a *Account) Add(o Owner, size structs.Resources) { a.change(o, size) }

// Remove undoes Add for a run that has ended.
func (a *Account) Remove(o Owner, size structs.Resources) { a.change(o, structs.Resources{}.Sub(size)) }

// change adds an amount, which may be negative, to the entries of an owner.
func (a *Account) change(o Owner, by structs.Resources) {
	a.total = a.total.Add(by)
	changeEntry(a.byOwner, o, by)
	changeEntry(a.byTeam, o.Team, by)
	changeEntry(a.byClass, o.Class, by)
}

// changeEntry adds to an entry of a map, and drops an entry of zero.
func changeEntry[K comparable](m map[K]structs.Resources, key K, by structs.Resources) {
	sum := m[key].Add(by)
	if sum.IsZero() {
		delete(m, key)
		return
	}
	m[key] = sum
}

// Total returns what all runs hold.
func (a *Account) Total() structs.Resources { return a.total }

// Owner returns what the runs of a team in a class hold.
func (a *Account) Owner(o Owner) structs.Resources { return a.byOwner[o] }

// Team returns what the runs of a team hold.
func (a *Account) Team(name string) structs.Resources { return a.byTeam[name] }

// EachTeam calls a function with each team that holds something, and with what it holds, in no order.
func (a *Account) EachTeam(f func(name string, held structs.Resources)) {
	for name, held := range a.byTeam {
		f(name, held)
	}
}

// Class returns what the runs of a class hold.
func (a *Account) Class(name string) structs.Resources { return a.byClass[name] }
