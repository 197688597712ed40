// Package yuccashare divides the processors in use among the flows that compete for them, and
// decides from that which of an entry's queues are held back and how long new jobs would wait.
// A flow is the demand for a queue from the callers of a data centre.
//
// The package does no I/O and reads no clock. See docs/design/shares.md.
package yuccashare
