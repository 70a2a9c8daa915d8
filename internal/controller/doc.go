// Package controller makes the decisions of a cell's leader. It knows all jobs and the runs
// on every worker, and decides which tasks to start on which workers, and what to store. The
// package does no I/O: the caller passes the time in, carries out the orders that the
// controller returns, and reports their results. All calls come from one goroutine.
package controller
