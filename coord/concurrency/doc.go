// Package concurrency decides how many statements a database endpoint should have in
// flight, from the response times that a host sees. It has no I/O, clock or goroutines.
package concurrency
