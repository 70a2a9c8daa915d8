package quota

import (
	"cmp"
	"slices"
	"time"

	"dotterelhitch/internal/structs"
)

// Book is kept by the one entry that divides a team's limit. A share is promised for
// a time: an owner may use it until then, so what was promised counts against the
// limit until it has run out or the owner has confirmed a smaller share. That keeps
// the sum within the limit while messages are lost or late.
type Book struct {
	limit    structs.Resources
	promises map[string]*promise
}

// promise is what an owner may believe to have.
type promise struct {
	// current is the share last promised, until its end.
	current structs.Resources
	until   time.Time
	// older covers a larger earlier share that the owner may still use.
	older      structs.Resources
	olderUntil time.Time
}

// NewBook returns a book without promises.
func NewBook(limit structs.Resources) *Book {
	return &Book{limit: limit, promises: make(map[string]*promise)}
}

// SetLimit changes the limit. Promises above it run out by themselves.
func (b *Book) SetLimit(limit structs.Resources) { b.limit = limit }

// Promise promises an owner a share until a time, as much of want as the other
// promises leave. It returns what was promised.
func (b *Book) Promise(now time.Time, owner string, want structs.Resources, until time.Time) structs.Resources {
	free := b.limit
	for other, p := range b.promises {
		if other != owner {
			free = free.Sub(p.outstanding(now))
		}
	}
	share := lesser(want, free)
	p := b.promises[owner]
	if p == nil {
		p = &promise{}
		b.promises[owner] = p
	}
	p.older = p.outstanding(now)
	p.olderUntil = later(p.until, p.olderUntil)
	p.current = share
	p.until = until
	return share
}

// Confirm tells that an owner uses its latest share and no older one.
func (b *Book) Confirm(owner string, share structs.Resources) {
	p := b.promises[owner]
	if p != nil && p.current == share {
		p.older = structs.Resources{}
		p.olderUntil = time.Time{}
	}
}

// Outstanding returns the sum of what owners may believe to have.
func (b *Book) Outstanding(now time.Time) structs.Resources {
	var sum structs.Resources
	for _, p := range b.promises {
		sum = sum.Add(p.outstanding(now))
	}
	return sum
}

// Expire drops promises that have run out and returns their owners.
func (b *Book) Expire(now time.Time) []string {
	var ended []string
	for owner, p := range b.promises {
		if p.outstanding(now).IsZero() && !now.Before(p.until) {
			delete(b.promises, owner)
			ended = append(ended, owner)
		}
	}
	slices.SortFunc(ended, func(a, b string) int { return cmp.Compare(a, b) })
	return ended
}

// outstanding returns the most that the owner may believe to have.
func (p *promise) outstanding(now time.Time) structs.Resources {
	var most structs.Resources
	if now.Before(p.until) {
		most = p.current
	}
	if now.Before(p.olderUntil) {
		most = greater(most, p.older)
	}
	return most
}

// lesser returns the smaller of a and b in each component, none below zero.
func lesser(a, b structs.Resources) structs.Resources {
	return structs.Resources{
		CPUMilli:     max(min(a.CPUMilli, b.CPUMilli), 0),
		MemoryMiB:    max(min(a.MemoryMiB, b.MemoryMiB), 0),
		Accelerators: max(min(a.Accelerators, b.Accelerators), 0),
	}
}

// greater returns the larger of a and b in each component.
func greater(a, b structs.Resources) structs.Resources {
	return structs.Resources{
		CPUMilli:     max(a.CPUMilli, b.CPUMilli),
		MemoryMiB:    max(a.MemoryMiB, b.MemoryMiB),
		Accelerators: max(a.Accelerators, b.Accelerators),
	}
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
