// Package rows mirrors tables of versioned rows. A mirror is fed by a change
// feed, by whole listings and by the mirrors of other hosts, in any order; it
// never goes back to an older version of a row.
package rows
