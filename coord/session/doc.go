// Package session holds the state of one caller's session apart from any
// connection: its values, prepared statements, transaction and floor. It decides
// which statements are answered locally, which need an endpoint, and what an
// endpoint's connection must be told before it may run one of them.
package session
