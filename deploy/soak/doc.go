// Package soak runs hosts as separate processes on one machine against stand-ins of the
// users' platform. It injects faults from outside the processes, and checks the answers
// that callers got and the logs of the endpoints against the guarantees that the platform
// documents.
//
// Runs with an odd seed have teams: callers send keys, which faults withdraw, and stay within or far
// above the limits of their teams, which faults lower.
//
// The seed of a run determines the faults, their order and their times. It does not
// determine how the processes interleave.
package soak
