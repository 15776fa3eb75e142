// Package succession decides when a group's primary is replaced, by which host,
// and by which endpoint. It is pure: what a host has seen goes in, a verdict comes
// out.
package succession
