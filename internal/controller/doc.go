// Package controller is the decision part of a cell's controller: it knows all jobs and
// what every worker runs, and decides what to start, where, and what to store. It is
// pure: one goroutine calls it, passes the time in, carries out the orders that it
// returns and reports what became of them. It does no I/O.
package controller
