package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/beryltrestle/beryltrestle/internal/control"
)

// statusTimeout is the time limit of the request to the daemon.
const statusTimeout = 5 * time.Second

// maxStatusBytes limits the size of the daemon's response.
const maxStatusBytes = 256 << 20

// statusCommand shows the state of a daemon.
type statusCommand struct {
	Address string `help:"Admin address of the daemon, IP:port." required:"" placeholder:"ADMIN"`
}

// Run requests and prints the status.
func (c *statusCommand) Run(e *environment) error {
	ctx, cancel := context.WithTimeout(e.ctx, statusTimeout)
	defer cancel()
	body, err := getStatus(ctx, "http://"+c.Address+"/status")
	if err != nil {
		return errors.Wrap(err, "read status")
	}
	var view control.View
	if err := json.Unmarshal(body, &view); err != nil {
		return errors.Wrap(err, "read status")
	}
	return e.out.writeResult(json.RawMessage(body), func(w io.Writer) { printStatus(w, &view) })
}

func getStatus(ctx context.Context, url string) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Newf("daemon answered with status %s", resp.Status)
	}
	return io.ReadAll(io.LimitReader(resp.Body, maxStatusBytes))
}

// printStatus writes one line for each group.
func printStatus(w io.Writer, v *control.View) {
	fmt.Fprintf(w, "manifest generation %d, %d groups\n\n", v.Generation, v.Groups.Len())
	var rows [][]string
	groups := maps.Collect(v.Groups.All())
	for _, name := range slices.Sorted(maps.Keys(groups)) {
		rows = append(rows, groupRow(name, groups[name]))
	}
	printTable(w, []string{"POOL", "TERM", "OWNER", "PRIMARY", "CHANGING", "REACHABLE"}, rows)
}

func groupRow(name string, g control.GroupView) []string {
	owner := g.OwnerAddress
	if g.Owned {
		owner += " (this daemon)"
	}
	reachable := 0
	for _, e := range g.Endpoints {
		if e.Reachable {
			reachable++
		}
	}
	return []string{name, strconv.FormatUint(g.Term, 10), owner, g.Primary, strconv.FormatBool(g.InTransition),
		fmt.Sprintf("%d of %d", reachable, len(g.Pool.Endpoints))}
}
