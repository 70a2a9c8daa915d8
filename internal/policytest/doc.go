// Package policytest runs the scheduler's decisions in small models with virtual time
// and compares them with plain rules: one queue, one set of workers, seeded arrivals.
// It is no simulator of a cluster: there are no messages, no entries and no failures
// of the system itself. Each experiment returns its figures; the tests print them and
// check them against the stated targets.
package policytest
