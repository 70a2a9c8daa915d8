// Package structs holds the types that the packages of the scheduler share:
// resources, workers, classes, jobs, allocations, requests and the errors that
// cross a process boundary. It does no I/O and starts no goroutine.
package structs

import "fmt"

// Resources is an amount of processor, memory and accelerators.
type Resources struct {
	// CPUMilli is processor time in thousandths of a core.
	CPUMilli int64 `json:"cpu_milli"`
	// MemoryMiB is memory in mebibytes.
	MemoryMiB int64 `json:"memory_mib"`
	// Accelerators is a number of whole accelerators.
	Accelerators int64 `json:"accelerators,omitempty"`
}

// String formats the resources for log messages.
func (r Resources) String() string {
	return fmt.Sprintf("%d millicores, %d MiB, %d accelerators", r.CPUMilli, r.MemoryMiB, r.Accelerators)
}

// Add returns the sum of r and o.
func (r Resources) Add(o Resources) Resources {
	return Resources{
		CPUMilli:     r.CPUMilli + o.CPUMilli,
		MemoryMiB:    r.MemoryMiB + o.MemoryMiB,
		Accelerators: r.Accelerators + o.Accelerators,
	}
}

// Sub returns r less o; a component may become negative.
func (r Resources) Sub(o Resources) Resources {
	return Resources{
		CPUMilli:     r.CPUMilli - o.CPUMilli,
		MemoryMiB:    r.MemoryMiB - o.MemoryMiB,
		Accelerators: r.Accelerators - o.Accelerators,
	}
}

// Times returns r multiplied by n.
func (r Resources) Times(n int64) Resources {
	return Resources{
		CPUMilli:     r.CPUMilli * n,
		MemoryMiB:    r.MemoryMiB * n,
		Accelerators: r.Accelerators * n,
	}
}

// DividedBy returns r divided by n, rounded down.
func (r Resources) DividedBy(n int64) Resources {
	return Resources{
		CPUMilli:     r.CPUMilli / n,
		MemoryMiB:    r.MemoryMiB / n,
		Accelerators: r.Accelerators / n,
	}
}

// FitCount returns how many copies of r fit into free, at most limit. The result is
// negative if free has a negative component that r needs. Components of which r needs
// nothing are ignored.
func (r Resources) FitCount(free Resources, limit int64) int64 {
	n := limit
	if r.CPUMilli > 0 {
		n = min(n, free.CPUMilli/r.CPUMilli)
	}
	if r.MemoryMiB > 0 {
		n = min(n, free.MemoryMiB/r.MemoryMiB)
	}
	if r.Accelerators > 0 {
		n = min(n, free.Accelerators/r.Accelerators)
	}
	return n
}

// Fits reports whether r is at most free in every component.
func (r Resources) Fits(free Resources) bool {
	return r.CPUMilli <= free.CPUMilli &&
		r.MemoryMiB <= free.MemoryMiB &&
		r.Accelerators <= free.Accelerators
}

// HasNegative reports whether any component is below zero.
func (r Resources) HasNegative() bool {
	return r.CPUMilli < 0 || r.MemoryMiB < 0 || r.Accelerators < 0
}

// MaxAmount is the most that an instance may have of a resource, in its unit. Sums over all instances
// stay below the maximum of an int64.
const MaxAmount = 1 << 40

// Possible reports whether an instance may have r: no component is below zero or above MaxAmount.
func (r Resources) Possible() bool {
	return !r.HasNegative() && r.Fits(Resources{CPUMilli: MaxAmount, MemoryMiB: MaxAmount, Accelerators: MaxAmount})
}

// IsZero reports whether every component is zero.
func (r Resources) IsZero() bool {
	return r == Resources{}
}

// Min returns the smaller of r and o in each component.
func (r Resources) Min(o Resources) Resources {
	return Resources{
		CPUMilli:     min(r.CPUMilli, o.CPUMilli),
		MemoryMiB:    min(r.MemoryMiB, o.MemoryMiB),
		Accelerators: min(r.Accelerators, o.Accelerators),
	}
}

// Max returns the larger of r and o in each component.
func (r Resources) Max(o Resources) Resources {
	return Resources{
		CPUMilli:     max(r.CPUMilli, o.CPUMilli),
		MemoryMiB:    max(r.MemoryMiB, o.MemoryMiB),
		Accelerators: max(r.Accelerators, o.Accelerators),
	}
}

// ClampNegative returns r with zero in place of each negative component.
func (r Resources) ClampNegative() Resources {
	return Resources{
		CPUMilli:     max(r.CPUMilli, 0),
		MemoryMiB:    max(r.MemoryMiB, 0),
		Accelerators: max(r.Accelerators, 0),
	}
}
