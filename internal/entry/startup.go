package entry

import (
	"crypto/tls"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/beryltrestle/beryltrestle/internal/metrics"
)

// Startup options of beryltrestle's own, and those that the entry reads.
const (
	optionSession          = "beryltrestle.session"
	optionStatementTimeout = "statement_timeout"
	optionDatabase         = "database"
	optionUser             = "user"
	optionOptions          = "options"
	optionReplication      = "replication"
)

// minorVersionMask selects the minor version of the protocol.
const minorVersionMask = 0xffff

// errStartupOver reports that the connection ends without having become a
// caller's: a cancel request or a refusal.
var errStartupOver = errors.New("connection ended in its startup")

// announced are the settings that are sent to every caller.
var announced = []pgproto3.ParameterStatus{
	{Name: "client_encoding", Value: "UTF8"},
	{Name: "server_encoding", Value: "UTF8"},
	{Name: "DateStyle", Value: "ISO, MDY"},
	{Name: "TimeZone", Value: "UTC"},
	{Name: "integer_datetimes", Value: "on"},
	{Name: "standard_conforming_strings", Value: "on"},
}

// startup handles the first messages of a connection.
func (c *caller) startup() error {
	_ = c.conn.SetDeadline(time.Now().Add(c.gate.cfg.StartupTimeout))
	for {
		msg, err := c.reader.backend.ReceiveStartupMessage()
		if err != nil {
			return c.startupFailed(err)
		}
		switch m := msg.(type) {
		case *pgproto3.SSLRequest:
			err = c.startTLS()
		case *pgproto3.GSSEncRequest:
			c.startupBytes += encryptionRequestSize
			_, err = c.conn.Write([]byte{'N'})
		case *pgproto3.CancelRequest:
			c.cancelOther(m)
			return errStartupOver
		case *pgproto3.StartupMessage:
			return c.begin(m)
		}
		if err != nil {
			return err
		}
	}
}

// startupFailed answers a malformed first message.
func (c *caller) startupFailed(err error) error {
	e := c.reader.failed(err)
	if e.refusal != nil {
		return c.end(e.refusal)
	}
	return errStartupOver
}

// startTLS answers an SSLRequest. Bytes that came with the request would have
// been sent without encryption, so they end the connection.
func (c *caller) startTLS() error {
	c.startupBytes += encryptionRequestSize
	if c.gate.cfg.TLS == nil || c.encrypted {
		_, err := c.conn.Write([]byte{'N'})
		return err
	}
	if c.reader.counter.total.Load() != c.startupBytes {
		return c.end(malformed("data before the TLS handshake"))
	}
	if _, err := c.conn.Write([]byte{'S'}); err != nil {
		return err
	}
	conn := tls.Server(c.conn, c.gate.cfg.TLS)
	if err := conn.Handshake(); err != nil {
		return errors.Wrap(err, "TLS handshake with a caller")
	}
	c.encrypted = true
	c.use(conn)
	return nil
}

// encryptionRequestSize is the length of an SSLRequest or GSSENCRequest, in
// bytes.
const encryptionRequestSize = 8

// cancelOther cancels the running request of another connection.
func (c *caller) cancelOther(m *pgproto3.CancelRequest) {
	if other := c.gate.keys.find(m.ProcessID, m.SecretKey); other != nil {
		other.cancelRunning()
	}
}

// begin handles the startup message.
func (c *caller) begin(m *pgproto3.StartupMessage) error {
	if refused := c.readOptions(m.Parameters); refused != nil {
		return c.end(refused)
	}
	if refused := c.admit(); refused != nil {
		return c.end(refused)
	}
	c.gate.keys.add(c)
	out := c.negotiate(m)
	out = encode(out, &pgproto3.AuthenticationOk{})
	out = encode(out, &pgproto3.ParameterStatus{Name: "server_version", Value: c.gate.cfg.ServerVersion})
	for _, p := range announced {
		out = encode(out, &p)
	}
	out = encode(out, &pgproto3.BackendKeyData{ProcessID: c.processID, SecretKey: c.secret})
	out = encode(out, &pgproto3.ReadyForQuery{TxStatus: statusIdle})
	if _, err := c.Write(out); err != nil {
		return err
	}
	c.reader.consumed = c.reader.counter.total.Load()
	return c.conn.SetDeadline(time.Time{})
}

// negotiate tells a caller of a later protocol version that 3.0 is spoken.
func (c *caller) negotiate(m *pgproto3.StartupMessage) []byte {
	var unknown []string
	for name := range m.Parameters {
		if strings.HasPrefix(name, "_pq_.") {
			unknown = append(unknown, name)
		}
	}
	if m.ProtocolVersion&minorVersionMask == 0 && len(unknown) == 0 {
		return nil
	}
	slices.Sort(unknown)
	return encode(nil, &pgproto3.NegotiateProtocolVersion{UnrecognizedOptions: unknown})
}

// admit counts the caller, unless there are too many, the gate is draining or
// the pool is not known.
func (c *caller) admit() *refusal {
	if c.gate.isDraining() {
		return notRun(stateCannotConnectNow, metrics.RefusedDraining, "the proxy is shutting down").ending()
	}
	view := c.gate.cfg.Views.View()
	if view == nil || view.Generation == 0 && view.Groups.Len() == 0 {
		return notRun(stateCannotConnectNow, metrics.RefusedNoOwner, "the proxy has no manifest yet").ending()
	}
	if _, ok := view.Groups.Get(c.pool); !ok {
		return notRun(stateUnknownDatabase, metrics.RefusedUnknownPool, "database %q does not exist", c.pool).ending()
	}
	c.counted = true
	if c.gate.countCallers(1) > int64(c.gate.cfg.MaxCallers) {
		return notRun(stateTooManyConnections, metrics.RefusedTooManyCallers, "the proxy has %d callers' connections already", c.gate.cfg.MaxCallers).ending()
	}
	return nil
}

// readOptions reads the startup parameters. A setting that would need session
// state is refused, never silently dropped.
func (c *caller) readOptions(params map[string]string) *refusal {
	params = maps.Clone(params)
	options, refused := splitOptions(params[optionOptions])
	if refused != nil {
		return refused
	}
	maps.Copy(params, options)
	c.session = params[optionUser]
	c.pool = params[optionDatabase]
	if c.pool == "" {
		c.pool = params[optionUser]
	}
	for name, value := range params {
		if refused := c.readOption(name, value); refused != nil {
			return refused
		}
	}
	return nil
}

// readOption handles one startup parameter.
func (c *caller) readOption(name, value string) *refusal {
	switch {
	case name == optionUser || name == optionDatabase || name == optionOptions || strings.HasPrefix(name, "_pq_."):
		return nil
	case name == optionSession:
		c.session = value
		return nil
	case name == optionReplication && (value == "false" || value == "off" || value == "no" || value == "0"):
		return nil
	case name == optionStatementTimeout:
		return c.readTimeout(value)
	case settingAccepted(name, value):
		return nil
	}
	return notRun(stateNotSupported, metrics.RefusedSessionState, "startup option %s=%q needs session state, which a pooled connection cannot keep", name, value).ending()
}

// readTimeout sets the time that the caller waits for answers; 0 means the
// default.
func (c *caller) readTimeout(value string) *refusal {
	timeout, err := time.ParseDuration(value)
	if ms, numeric := strconv.ParseUint(value, 10, 31); numeric == nil {
		timeout, err = time.Duration(ms)*time.Millisecond, nil
	}
	if err != nil || timeout < 0 {
		return notRun(stateNotSupported, metrics.RefusedProtocol, "statement_timeout %q is not a time", value).ending()
	}
	if timeout > 0 {
		c.timeout = timeout
	}
	return nil
}

// splitOptions reads the settings of the startup parameter "options": -c
// name=value or --name=value, separated by spaces that a backslash escapes.
func splitOptions(s string) (map[string]string, *refusal) {
	options := make(map[string]string)
	fields := splitEscaped(s)
	for i := 0; i < len(fields); i++ {
		field := fields[i]
		if field == "-c" && i+1 < len(fields) {
			i++
			field = "-c" + fields[i]
		}
		body, ok := strings.CutPrefix(field, "-c")
		if !ok {
			body, ok = strings.CutPrefix(field, "--")
		}
		name, value, hasValue := strings.Cut(body, "=")
		if !ok || !hasValue {
			return nil, notRun(stateNotSupported, metrics.RefusedProtocol, "startup option %q is not supported", field).ending()
		}
		options[name] = value
	}
	return options, nil
}

// splitEscaped splits at spaces that are not escaped.
func splitEscaped(s string) []string {
	var fields []string
	var field strings.Builder
	started, escaped := false, false
	for _, r := range s {
		switch {
		case escaped:
			field.WriteRune(r)
			escaped = false
		case r == '\\':
			started, escaped = true, true
		case r == ' ':
			if started {
				fields = append(fields, field.String())
			}
			field.Reset()
			started = false
		default:
			field.WriteRune(r)
			started = true
		}
	}
	if started {
		fields = append(fields, field.String())
	}
	return fields
}
