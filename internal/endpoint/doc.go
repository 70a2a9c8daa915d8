// Package endpoint sends a request to the endpoint of a worker and tells, for
// every attempt, whether it was answered, certainly not run, or may have run.
//
// It keeps its own small pool of HTTP/1.1 connections, because the verdict
// depends on whether a byte may have left on the connection, on how long the
// connection has been silent, and on no request ever being sent twice.
package endpoint
