// Package health distinguishes workers on which tasks fail that succeed elsewhere from
// jobs that fail everywhere, limits retries so that faults do not cause retry storms,
// and routes requests around slow endpoints. It does no I/O, starts no goroutine and
// receives the time as an argument. One goroutine of an entry owns each value.
package health
