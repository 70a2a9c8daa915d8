// Package admission decides at once for each request whether it runs, waits or is
// refused as not run, so that under overload the answered rate stays at capacity and
// what is answered is answered within its class's target. It does no I/O, starts no
// goroutine and gets the time as an argument; one goroutine of an entry owns a
// Controller.
package admission
