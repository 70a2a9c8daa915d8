package scheduler

// Flag is a set of bits, each a condition of a worker that affects placement.
type Flag uint8

const (
	// FlagInventoried is set once the worker's inventory has been read under the
	// current epoch. Nothing is placed on a worker without it.
	FlagInventoried Flag = 1 << iota
	// FlagLeaving is set when an operator or the platform has declared that the worker
	// is leaving.
	FlagLeaving
	// FlagDraining is set when the worker itself reports that it is shutting down
	// gracefully.
	FlagDraining
	// FlagProbation is set while tasks fail on the worker that succeed on others.
	FlagProbation
	// FlagUnreachable is set while calls to the worker fail.
	FlagUnreachable
	// FlagFormerOwner is set while a former owner may still place work on the worker.
	FlagFormerOwner
)

// blockingFlags are the flags each of which excludes a worker from new work.
const blockingFlags = FlagLeaving | FlagDraining | FlagProbation | FlagUnreachable | FlagFormerOwner
