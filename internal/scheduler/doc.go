// Package scheduler decides where and when work runs. Its types are plain data and its
// functions make decisions only: they do no I/O, start no goroutine and receive the
// time as an argument. The control goroutine of an entry owns a NodeSet and a Queue and
// makes all calls into this package. There is no locking, and nothing is safe for
// concurrent use.
package scheduler
