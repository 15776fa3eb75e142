// Package hostlist implements platform.HostList over HTTP: GET with the query
// parameter "since" returns a platform.HostListSnapshot as JSON.
package hostlist

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/beryltrestle/beryltrestle/internal/platform"
)

// maxListBytes limits the size of the response; a list of 5,500 hosts takes
// 0.6 MB.
const maxListBytes = 16 << 20

// Client reads the host list from a URL.
type Client struct {
	endpoint string
	timeout  time.Duration
	client   *http.Client
}

var _ platform.HostList = (*Client)(nil)

// New returns a client. timeout is the time limit of each request, including
// its body.
func New(endpoint string, timeout time.Duration) *Client {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	return &Client{endpoint: endpoint, timeout: timeout, client: &http.Client{Transport: transport}}
}

// Hosts implements platform.HostList.
func (c *Client) Hosts(ctx context.Context, since uint64) (platform.HostListSnapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	hosts, err := c.get(ctx, since)
	return hosts, errors.Wrap(err, "read host list")
}

func (c *Client) get(ctx context.Context, since uint64) (platform.HostListSnapshot, error) {
	address, err := url.Parse(c.endpoint)
	if err != nil {
		return platform.HostListSnapshot{}, err
	}
	query := address.Query()
	query.Set("since", strconv.FormatUint(since, 10))
	address.RawQuery = query.Encode()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, address.String(), http.NoBody)
	if err != nil {
		return platform.HostListSnapshot{}, err
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return platform.HostListSnapshot{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	return decode(resp)
}

func decode(resp *http.Response) (platform.HostListSnapshot, error) {
	var hosts platform.HostListSnapshot
	if resp.StatusCode != http.StatusOK {
		return hosts, errors.Newf("service answered with status %s", resp.Status)
	}
	err := json.NewDecoder(io.LimitReader(resp.Body, maxListBytes)).Decode(&hosts)
	return hosts, err
}
