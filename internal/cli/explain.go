package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/url"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/beryltrestle/beryltrestle/internal/gateway"
)

// explainCommand shows where a statement would go now, without sending it.
type explainCommand struct {
	Address  string `help:"Admin address of the host, IP:port." required:"" placeholder:"ADMIN"`
	Database string `help:"Database of the statement." required:"" placeholder:"NAME"`
	Team     string `help:"Name of the team that would send it, never its key." placeholder:"NAME"`
	Write    bool   `help:"Explain a write instead of a read."`
}

// Run requests and prints the explanation.
func (c *explainCommand) Run(e *environment) error {
	ctx, cancel := context.WithTimeout(e.ctx, statusTimeout)
	defer cancel()
	parameters := url.Values{"database": {c.Database}, "write": {strconv.FormatBool(c.Write)}}
	if c.Team != "" {
		parameters.Set("team", c.Team)
	}
	body, err := getStatus(ctx, "http://"+c.Address+"/explain?"+parameters.Encode())
	if err != nil {
		return errors.Wrap(withoutURL(err), "read explanation")
	}
	var x gateway.Explanation
	if err := json.Unmarshal(body, &x); err != nil {
		return errors.Wrap(err, "read explanation")
	}
	return e.out.writeResult(json.RawMessage(body), func(w io.Writer) { c.print(w, &x) })
}

// withoutURL removes the URL from an error of the HTTP client. Its parameters may hold a key that
// was given as a team.
func withoutURL(err error) error {
	var failed *url.Error
	if errors.As(err, &failed) {
		return failed.Err
	}
	return err
}

// print writes the explanation as text and tables, the outcome first.
func (c *explainCommand) print(w io.Writer, x *gateway.Explanation) {
	fmt.Fprintf(w, "outcome:   %s\n", outcomeText(x.Outcome))
	fmt.Fprintf(w, "host:      %s, %s\n", x.Host, valueOr(prefixed("not ready: ", x.NotReady), "ready"))
	if d := x.Database; d != nil {
		fmt.Fprintf(w, "database:  %s, group %s, %s, objective %s, timeout %s, priority %d\n", d.Name, d.Group, consistencyText(d), msOr(d.ObjectiveMs, "none"), ms(d.TimeoutMs), d.Priority)
	} else {
		fmt.Fprintln(w, "database:  not configured")
	}
	fmt.Fprintf(w, "keys:      %s\n", keysText(x.Keys))
	if x.Database != nil {
		fmt.Fprintf(w, "team:      %s\n", c.teamText(x))
	}
	if t := x.Team; t != nil && len(t.Lenders) > 0 {
		fmt.Fprintln(w)
		printTable(w, []string{"LENDER", "STATUS", "ASKED AGAIN IN"}, lenderRows(t.Lenders))
	}
	if len(x.Endpoints) > 0 {
		fmt.Fprintln(w)
		printTable(w, []string{"ENDPOINT", "ROLE", "ZONE", "USABLE", "REACHED", "IN FLIGHT", "WAITING", "WINDOW", "ALL HOSTS", "WAIT", "COST", "SHARE"}, endpointRows(x.Endpoints))
	}
}

// outcomeText describes the outcome.
func outcomeText(o gateway.Outcome) string {
	text := o.Result
	if o.Endpoint != "" {
		text += ", endpoint " + o.Endpoint
	}
	if o.Reason != "" && o.Result == gateway.ResultWaits {
		text += ", then " + o.Reason
	} else if o.Reason != "" {
		text += ", " + o.Reason
	}
	switch {
	case o.RetryAfterMs > 0 && o.RetryAfterMs < o.RetryAfterMaxMs:
		text += fmt.Sprintf(", retry after %d to %d ms", o.RetryAfterMs, o.RetryAfterMaxMs)
	case o.RetryAfterMs > 0:
		text += fmt.Sprintf(", retry after %d ms", o.RetryAfterMs)
	}
	return text + prefixed(": ", o.Detail)
}

// consistencyText describes what reads require.
func consistencyText(d *gateway.DatabaseExplanation) string {
	text := d.Consistency
	if d.MaxStalenessMs > 0 {
		text += " up to " + ms(d.MaxStalenessMs)
	}
	if d.PrimaryOnly {
		text += " (this statement needs the primary)"
	}
	return text
}

// keysText describes whether keys are accepted.
func keysText(k gateway.KeysExplanation) string {
	text := "not required"
	if k.Required {
		text = "required"
	}
	if k.Accepted {
		text += ", accepted now"
	} else {
		text += ", not accepted now"
	}
	age := "without proof"
	if k.ProofAgeMs != nil {
		age = "proved " + ms(*k.ProofAgeMs) + " ago"
	}
	return fmt.Sprintf("%s, configuration %d %s, bound %s", text, k.Version, age, msOr(k.RevocationBoundMs, "none"))
}

// teamText describes the team and its tokens.
func (c *explainCommand) teamText(x *gateway.Explanation) string {
	t := x.Team
	switch {
	case !x.Keys.Required:
		return "none, as the database requires no key"
	case t == nil:
		return "none given; a valid key of a team without a limit is assumed"
	case !t.Known:
		return "not configured"
	}
	text := t.Name
	if !t.HasKey {
		text += ", without a key"
	}
	if !t.Limited {
		return text + ", no limit"
	}
	text += fmt.Sprintf(", %g operations/s, burst %g; here %d tokens, %d later, %d operations waiting", t.Rate, t.Burst, t.Tokens, t.TokensLater, t.Waiting)
	switch {
	case t.Lender != "":
		text += "; next: ask " + t.Lender
	case t.AfterMs > 0:
		text += "; next: " + t.Decision + ", again in " + ms(t.AfterMs)
	default:
		text += "; next: " + t.Decision
	}
	return text
}

// lenderRows returns a row for each lender.
func lenderRows(lenders []gateway.LenderExplanation) [][]string {
	var rows [][]string
	for _, l := range lenders {
		rows = append(rows, []string{l.Address, l.Status, msOr(l.WaitMs, "")})
	}
	return rows
}

// endpointRows returns a row for each endpoint.
func endpointRows(endpoints []gateway.EndpointExplanation) [][]string {
	var rows [][]string
	for _, e := range endpoints {
		usable := valueOr(e.Excluded, "yes")
		if e.BackoffMs > 0 {
			usable += ", " + ms(e.BackoffMs)
		}
		if e.Excluded == "" && e.HealthWeight < 1 {
			usable += fmt.Sprintf(", weight %.2g", e.HealthWeight)
		}
		reported := ""
		if r := e.Reported; r != nil && r.Complete {
			reported = fmt.Sprintf("%d+%d/%d", r.InFlight, r.Waiting, r.Limit)
		}
		rows = append(rows, []string{
			e.ID, e.Role, e.Zone, usable, reachedText(e), strconv.Itoa(e.InFlight), strconv.Itoa(e.Waiting), strconv.Itoa(e.Window),
			reported, ms(e.ExpectedWaitMs), ms(e.CostMs), fmt.Sprintf("%.2f", e.Share),
		})
	}
	return rows
}

// reachedText describes how the endpoint is reached: the relay hosts that are used, then the
// others in parentheses.
func reachedText(e gateway.EndpointExplanation) string {
	if e.Direct {
		return "direct"
	}
	var used, others []string
	for _, r := range e.Relays {
		text := r.Address
		if r.DownMs > 0 {
			text += " down " + ms(r.DownMs)
		}
		if r.Used {
			used = append(used, text)
		} else {
			others = append(others, text)
		}
	}
	if len(used) == 0 {
		return "no relay host"
	}
	text := "via " + strings.Join(used, ", ")
	if len(others) > 0 {
		text += " (" + strings.Join(others, ", ") + ")"
	}
	return text
}

// ms formats a number of milliseconds.
func ms(v float64) string { return strconv.FormatFloat(v, 'f', 0, 64) + " ms" }

// msOr formats a number of milliseconds, or returns the other text for 0.
func msOr(v float64, zero string) string {
	if v == 0 {
		return zero
	}
	return ms(v)
}

// valueOr returns the text, or the other one if it is empty.
func valueOr(text, empty string) string {
	if text == "" {
		return empty
	}
	return text
}

// prefixed returns the text with a prefix, or nothing for an empty text.
func prefixed(prefix, text string) string {
	if text == "" {
		return ""
	}
	return prefix + text
}
