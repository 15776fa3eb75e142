// Package session holds the state of one caller's session independently of any connection
// to an endpoint: its values, prepared statements, transaction and floor. It determines
// which statements an endpoint's connection must run before it may run a statement of the
// session.
package session
