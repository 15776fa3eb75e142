// Package database is a stand-in for one endpoint of a database group. It
// implements the PostgreSQL wire protocol on top of an embedded SQL engine,
// replicates asynchronously from a primary, and offers the group-control functions
// that package platform describes. Terms, log and tables survive a restart with the
// same data directory.
//
// It differs from PostgreSQL as follows. SQL has the dialect of the embedded engine;
// $n parameters, ::type casts and now() are translated. Reads are read-committed.
// Write transactions are optimistic and fail with SQLSTATE 40001 if a concurrent
// commit changes the result of one of their writes or locking reads. Savepoints and
// COPY are not supported. Replication is statement-based, so a statement that uses
// random() may have another result on a replica.
package database
