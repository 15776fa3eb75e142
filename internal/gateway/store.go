package gateway

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/beryltrestle/beryltrestle/coord/rows"
)

// TableName names a table of the platform's store by its use.
type TableName string

// Tables that the gateway reads. It writes to TableState only, which holds the
// hosts and the claims.
const (
	TableCatalog   TableName = "catalog"
	TableEndpoints TableName = "endpoints"
	TableState     TableName = "state"
)

// Tables lists every table that is mirrored.
var Tables = []TableName{TableCatalog, TableEndpoints, TableState}

// ErrHistoryGone says that the changes since the version are no longer kept.
var ErrHistoryGone = errors.New("the store's history does not reach back to the version")

// ErrConflict says that a conditional write found another version.
var ErrConflict = errors.New("the row has changed")

// ErrStoreRefused says that the store did not perform the call.
var ErrStoreRefused = errors.New("the store refused the call")

// Store is the platform's table service. A call that fails with another error
// than ErrConflict and ErrStoreRefused may have been performed, or may still be.
type Store interface {
	// Changes waits up to wait for changes after the version, and returns them with
	// the version that they reach to.
	Changes(ctx context.Context, table TableName, after uint64, wait time.Duration) ([]rows.Row, uint64, error)
	// List returns all rows and the version of the listing.
	List(ctx context.Context, table TableName) ([]rows.Row, uint64, error)
	// Write writes the row if its version is the expected one; 0 means that it does
	// not exist.
	Write(ctx context.Context, table TableName, key string, expected uint64, value []byte) (uint64, error)
	// Delete removes the row if its version is the expected one.
	Delete(ctx context.Context, table TableName, key string, expected uint64) error
}

// Decoder reads the rows that others write to the store.
type Decoder interface {
	// Catalog decodes a row of TableCatalog; false if it is not the catalog's row.
	Catalog(r rows.Row) (*Catalog, bool, error)
	// Endpoint decodes a row of TableEndpoints.
	Endpoint(r rows.Row) (Endpoint, error)
}

// ErrPromotionRefused says that the promotion did not and will not take effect.
var ErrPromotionRefused = errors.New("the promotion was refused")

// Promoter orders that an endpoint becomes its group's primary.
type Promoter interface {
	// Promote returns nil if the endpoint will lead or leads. The fence rises with
	// each change of holder.
	Promote(ctx context.Context, group, endpoint, holder string, fence uint64) error
}
