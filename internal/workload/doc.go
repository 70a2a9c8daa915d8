// Package workload holds the types of the cell's jobs: steps of tasks with dependencies,
// gangs, recurring and long-running jobs, the classes that operators define, and the runs of
// tasks. It does no I/O.
package workload
