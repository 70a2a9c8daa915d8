// Package admission decides immediately for each request whether it runs, waits or is
// refused as not run. Under overload, the rate of answers then stays at capacity, and
// requests that are answered are answered within the target of their class. The package
// does no I/O, starts no goroutine and receives the time as an argument. One goroutine
// of an entry owns a Controller.
package admission
