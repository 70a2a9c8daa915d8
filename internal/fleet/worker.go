package fleet

import (
	"time"

	"dotterelhitch/internal/structs"
)

// Worker is an owned worker.
type Worker struct {
	Info structs.Worker
	// Epoch is the epoch at which this entry took over the worker. Commands to the
	// worker carry it.
	Epoch int64
	// InventoryKnown is true once an inventory was read under Epoch.
	InventoryKnown bool
	// Boot is the boot ID in the last inventory.
	Boot string
	// Draining is true if the worker reports that it is draining.
	Draining bool

	// LastInventory is the start time of the last inventory call that the worker
	// answered.
	LastInventory time.Time

	// lastCallStart is the start time of the last call that the worker answered.
	lastCallStart time.Time
	// lastAnswerAt is when the worker's last answer arrived. The answer carries a
	// reading of the worker's clock, and a lease expires one lease duration after the
	// reading that its renewal names. So no lease outlasts lastAnswerAt plus one lease
	// duration.
	lastAnswerAt time.Time
	// allRunsEnded is set when all runs on the worker have certainly ended.
	allRunsEnded bool
	addedAt      time.Time
	// epochRefused is set once the worker has refused Epoch. The worker then has a
	// newer owner, which may be renewing leases on it.
	epochRefused bool
}

// Reachable reports whether the worker's inventory is known and the worker answered a
// call started within the given duration.
func (w *Worker) Reachable(now time.Time, within time.Duration) bool {
	return w.InventoryKnown && now.Sub(w.lastCallStart) <= within
}
