// Package soak runs real hosts as processes on one machine before stand-ins of the
// users' platform, injects faults from outside of them, and checks from what callers and
// endpoints see that the promises of the platform's pages hold.
//
// A run is given by its seed: the faults, their order and their times follow from it; how
// the processes interleave does not.
package soak
