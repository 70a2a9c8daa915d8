// Package workload holds the jobs that callers hand in: steps of tasks with
// dependencies, gangs, recurring and long-running work, the classes that say what
// operators want of them, and the runs of their tasks. It does no I/O.
package workload
