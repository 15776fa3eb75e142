// Package soak runs hosts as separate processes on one machine against stand-ins of the
// users' platform. It injects faults from outside the processes, and checks the answers
// that callers got and the logs of the endpoints against the guarantees that the platform
// documents.
//
// The seed of a run determines the faults, their order and their times. It does not
// determine how the processes interleave.
package soak
