// Package health tells workers that fail what succeeds elsewhere from jobs that fail
// everywhere, keeps faults from causing storms of retries and routes requests around
// slow endpoints. It does no I/O, starts no goroutine and gets the time as an
// argument; one goroutine of an entry owns each value.
package health
