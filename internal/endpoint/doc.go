// Package endpoint sends requests to the endpoints of workers and reports for
// every attempt whether it was answered, certainly not run, or may have run.
//
// It has its own small pool of HTTP/1.1 connections instead of using net/http's,
// because the outcome depends on whether the connection accepted any byte of the
// request, on how long the connection has been idle, and on no request ever being
// sent twice.
package endpoint
