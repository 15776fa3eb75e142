// Package database is a stand-in for one endpoint of a database group. It
// speaks the PostgreSQL wire protocol over an embedded SQL engine, replicates
// asynchronously from a primary, and offers the group-control functions that
// package platform describes. Terms, log and tables survive a restart with the
// same data directory.
//
// Differences from PostgreSQL: SQL has the dialect of the embedded engine with
// $n parameters, ::type casts and now() translated; reads are read-committed;
// write transactions are optimistic and fail with SQLSTATE 40001 if a concurrent
// commit changes the result of one of their writes or locking reads; savepoints
// and COPY are not supported. Replication repeats statements, so that a statement with
// random() may differ on a replica.
package database
