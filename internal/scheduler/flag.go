package scheduler

// Flag is a condition of a worker that bears on placement. Flags are bits.
type Flag uint8

const (
	// FlagInventoried is set once the worker's inventory was read under the present
	// epoch. No work is placed on a worker that is not known.
	FlagInventoried Flag = 1 << iota
	// FlagLeaving is set when an operator or the platform declared the worker
	// as leaving.
	FlagLeaving
	// FlagDraining is set when the worker itself reports a graceful shutdown.
	FlagDraining
	// FlagProbation is set while the worker fails what succeeds elsewhere.
	FlagProbation
	// FlagUnreachable is set while calls to the worker fail.
	FlagUnreachable
	// FlagFormerOwner is set while a former owner may still give work to the worker.
	FlagFormerOwner
)

// blocking are the flags of which any one keeps new work away.
const blocking = FlagLeaving | FlagDraining | FlagProbation | FlagUnreachable | FlagFormerOwner
