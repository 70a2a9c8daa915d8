// Package scheduler decides where and when work runs. Its types are plain data and
// its functions are pure decisions: they do no I/O, start no goroutine and get the
// time as an argument. One control goroutine of an entry owns a NodeSet and a Queue
// and calls everything here; nothing is locked and nothing is safe for concurrent
// use.
package scheduler
