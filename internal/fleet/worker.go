package fleet

import (
	"time"

	"dotterelhitch/internal/structs"
)

// Worker is an owned worker.
type Worker struct {
	Info structs.Worker
	// Epoch is that under which the worker was gained; commands bear it.
	Epoch int64
	// InventoryKnown is true once the inventory was read under Epoch.
	InventoryKnown bool
	// Boot is that of the last inventory.
	Boot string
	// Draining is what the worker says of itself.
	Draining bool

	// LastInventory is the start of the last inventory call that the worker answered.
	LastInventory time.Time

	// heard is the start of the last call that the worker answered.
	heard time.Time
	// answered is when its last answer arrived. The answer bears a reading of
	// the worker's clock, every lease ends one lease after the reading that its
	// renewal names, so none outlasts answered plus one lease.
	answered time.Time
	// accounted is set when a silent worker's tasks have certainly ended.
	accounted bool
	gainedAt  time.Time
	// refused is set once the worker has refused Epoch: it has a newer owner, which
	// may renew leases there.
	refused bool
}

// Reachable reports whether the worker answered within the bound.
func (w *Worker) Reachable(now time.Time, within time.Duration) bool {
	return w.InventoryKnown && now.Sub(w.heard) <= within
}
