// Package groupctl is the platform.GroupControl adapter for endpoints that offer
// group control as SQL functions over the PostgreSQL protocol:
//
//	platform_status()
//	platform_advance_term(term, holder)
//	platform_promote(term, holder)
//	platform_follow(term, holder, primary_address)
//
// Each returns one row of text: role, term, holder, appointed_term,
// primary_address, received and applied.
package groupctl

import (
	"context"
	"strconv"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgconn"

	"github.com/beryltrestle/beryltrestle/internal/platform"
)

const (
	// User is the database user of control connections. Endpoints do not count
	// them against the limit of client connections.
	User = "platform_control"
	// StaleTermSQLState is the SQLSTATE of a call that does not fit the endpoint's
	// term and holder; see platform.StaleTermError. The error's DETAIL is the
	// endpoint's term.
	StaleTermSQLState = "BT001"
)

// Client implements platform.GroupControl with one cached connection for each
// endpoint. It is safe for concurrent use. Calls to one endpoint run one after
// another, and no call lasts longer than its context.
type Client struct {
	mu        sync.Mutex
	endpoints map[string]*endpoint
}

var _ platform.GroupControl = (*Client)(nil)

// New returns a Client without open connections.
func New() *Client { return &Client{endpoints: map[string]*endpoint{}} }

// Status implements platform.GroupControl.
func (c *Client) Status(ctx context.Context, address string) (platform.EndpointStatus, error) {
	return c.call(ctx, address, 0, "SELECT platform_status()")
}

// AdvanceTerm implements platform.GroupControl.
func (c *Client) AdvanceTerm(
	ctx context.Context, address string, term uint64, holder string,
) (platform.EndpointStatus, error) {
	return c.call(ctx, address, term, "SELECT platform_advance_term($1, $2)", formatTerm(term), holder)
}

// Promote implements platform.GroupControl.
func (c *Client) Promote(
	ctx context.Context, address string, term uint64, holder string,
) (platform.EndpointStatus, error) {
	return c.call(ctx, address, term, "SELECT platform_promote($1, $2)", formatTerm(term), holder)
}

// Follow implements platform.GroupControl.
func (c *Client) Follow(
	ctx context.Context, address string, term uint64, holder, primary string,
) (platform.EndpointStatus, error) {
	return c.call(ctx, address, term, "SELECT platform_follow($1, $2, $3)", formatTerm(term), holder, primary)
}

// Forget closes the cached connection to an endpoint that is no longer in its
// group.
func (c *Client) Forget(address string) {
	c.mu.Lock()
	e := c.endpoints[address]
	delete(c.endpoints, address)
	c.mu.Unlock()
	if e != nil {
		e.close()
	}
}

// Close closes all cached connections that are not in use by a call.
func (c *Client) Close() {
	c.mu.Lock()
	all := c.endpoints
	c.endpoints = map[string]*endpoint{}
	c.mu.Unlock()
	for _, e := range all {
		e.close()
	}
}

func (c *Client) endpointFor(address string) *endpoint {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.endpoints[address]
	if e == nil {
		e = newEndpoint(address)
		c.endpoints[address] = e
	}
	return e
}

func (c *Client) call(
	ctx context.Context, address string, term uint64, query string, args ...string,
) (platform.EndpointStatus, error) {
	row, err := c.endpointFor(address).query(ctx, query, args)
	if err != nil {
		return platform.EndpointStatus{}, callError(address, term, err)
	}
	s, err := parseStatus(row)
	return s, errors.Wrapf(err, "parse status of endpoint %s", address)
}

func callError(address string, term uint64, err error) error {
	var pgErr *pgconn.PgError
	if errors.As(err, &pgErr) && pgErr.Code == StaleTermSQLState {
		seen, _ := strconv.ParseUint(pgErr.Detail, 10, 64)
		return &platform.StaleTermError{Address: address, CallTerm: term, EndpointTerm: seen}
	}
	return errors.Wrapf(err, "call group control of endpoint %s", address)
}

func formatTerm(n uint64) string { return strconv.FormatUint(n, 10) }
