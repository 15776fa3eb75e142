// Package boottime reads a clock that cannot be set and that continues while the
// host is suspended. The runtime's monotonic clock stops during a suspension,
// so that ages measured with it would be too small.
package boottime
