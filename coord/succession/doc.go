// Package succession decides when a group's primary is replaced, which host replaces it,
// and which endpoint becomes the new primary. Its functions are pure: they decide from
// what a host knows about the group.
package succession
