package gateway

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/beryltrestle/beryltrestle/coord/rows"
)

// TableName names a table of the platform's store by its use; the store's own names may
// differ.
type TableName string

// Tables that the gateway reads. It writes only to TableState, which holds the rows of
// hosts and claims.
const (
	TableCatalog   TableName = "catalog"
	TableEndpoints TableName = "endpoints"
	TableState     TableName = "state"
)

// Tables lists every table that hosts mirror.
var Tables = []TableName{TableCatalog, TableEndpoints, TableState}

// ErrHistoryGone means that the store no longer keeps all changes since the requested
// version.
var ErrHistoryGone = errors.New("the store's history does not reach back to the version")

// ErrConflict means that a conditional write found another version than expected.
var ErrConflict = errors.New("the row has changed")

// ErrStoreRefused means that the store did not perform the call.
var ErrStoreRefused = errors.New("the store refused the call")

// Store is the platform's table service. Versions rise with each change, also when the store is
// restored from an older copy (rows.Era). If a call fails with an error other than
// ErrConflict and ErrStoreRefused, the change may have been applied or may still be
// applied later.
type Store interface {
	// Changes waits up to wait for changes after the given version. It returns them
	// with the version up to which they are complete.
	Changes(ctx context.Context, table TableName, after uint64, wait time.Duration) ([]rows.Row, uint64, error)
	// List returns all rows as of one moment.
	List(ctx context.Context, table TableName) (Listing, error)
	// Write writes the row if its current version is the expected one and returns the
	// new version; expected 0 means that the row must not exist. The conditions on other
	// rows of the table must hold as well.
	Write(ctx context.Context, table TableName, key string, expected uint64, value []byte, also ...RowVersion) (uint64, error)
	// Delete removes the row if its current version is the expected one and the
	// conditions on other rows of the table hold.
	Delete(ctx context.Context, table TableName, key string, expected uint64, also ...RowVersion) error
}

// Listing holds all rows of a table.
type Listing struct {
	Rows []rows.Row
	// Version is the version as of which Rows is complete.
	Version uint64
	// StoreTime is a time of the store's steady clock at which the rows had been read.
	StoreTime time.Duration
}

// RowVersion is a condition on a row: its current version, or 0 if it must not exist.
type RowVersion struct {
	Key     string
	Version uint64
}

// Decoder decodes rows that operators and endpoints write to the store.
type Decoder interface {
	// Catalog decodes a row of TableCatalog. It returns false if the row does not hold
	// the configuration.
	Catalog(r rows.Row) (*Catalog, bool, error)
	// Endpoint decodes a row of TableEndpoints.
	Endpoint(r rows.Row) (Endpoint, error)
}

// ErrPromotionRefused means that the promotion was not ordered, or not performed, and never
// will be.
var ErrPromotionRefused = errors.New("the promotion was refused")

// Promoter asks the platform to make an endpoint the primary of its group.
type Promoter interface {
	// Reachable returns nil if the platform has just answered this host.
	Reachable(ctx context.Context) error
	// Promote returns nil if the endpoint is or will become primary. It orders nothing
	// unless the platform has just answered on the same path, so that no order waits there
	// until a network partition ends.
	Promote(ctx context.Context, order Promotion) error
}

// Promotion is an order to make an endpoint the primary of its group.
type Promotion struct {
	Group, Endpoint, Holder string
	// Fence is a fencing token that increases with each change of holder.
	Fence uint64
	// NotAfter is the time, by package boottime, after which nothing must be ordered, since
	// another host may have taken over the claim.
	NotAfter time.Time
}
