// Package rows keeps copies (mirrors) of tables of versioned rows. A mirror merges changes
// from a change feed, from complete listings and from the mirrors of other hosts, in any
// order. It never replaces a row by an older version.
package rows
