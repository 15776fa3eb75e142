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

// Startup options that the entry reads; beryltrestle.session is its own.
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

// errConnEnded reports that a connection must end and that no further message must be
// sent on it: after a CancelRequest, a refused startup or another fatal error.
var errConnEnded = errors.New("the entry has ended the connection")

// reportedSettings are the settings that every caller is sent during the startup.
var reportedSettings = []pgproto3.ParameterStatus{
	{Name: "client_encoding", Value: "UTF8"},
	{Name: "server_encoding", Value: "UTF8"},
	{Name: "DateStyle", Value: "ISO, MDY"},
	{Name: "TimeZone", Value: "UTC"},
	{Name: "integer_datetimes", Value: "on"},
	{Name: "standard_conforming_strings", Value: "on"},
}

// startup handles the messages of a connection up to and including its startup message.
func (c *callerConn) startup() error {
	_ = c.conn.SetDeadline(time.Now().Add(c.server.cfg.StartupTimeout))
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
			c.handleCancelRequest(m)
			return errConnEnded
		case *pgproto3.StartupMessage:
			return c.completeStartup(m)
		}
		if err != nil {
			return err
		}
	}
}

// startupFailed handles an error of reading a startup message.
func (c *callerConn) startupFailed(err error) error {
	e := c.reader.errorEvent(err)
	if e.refusal != nil {
		return c.closeWithError(e.refusal)
	}
	return errConnEnded
}

// startTLS answers an SSLRequest. If further bytes arrived with the request, the connection
// ends: they were not encrypted, and could have been injected by an attacker.
func (c *callerConn) startTLS() error {
	c.startupBytes += encryptionRequestSize
	if c.server.cfg.TLS == nil || c.tlsActive {
		_, err := c.conn.Write([]byte{'N'})
		return err
	}
	if c.reader.counter.total.Load() != c.startupBytes {
		return c.closeWithError(malformedRefusal("data before the TLS handshake"))
	}
	if _, err := c.conn.Write([]byte{'S'}); err != nil {
		return err
	}
	conn := tls.Server(c.conn, c.server.cfg.TLS)
	if err := conn.Handshake(); err != nil {
		return errors.Wrap(err, "TLS handshake with a caller")
	}
	c.tlsActive = true
	c.setConn(conn)
	return nil
}

// encryptionRequestSize is the length of an SSLRequest or GSSENCRequest, in
// bytes.
const encryptionRequestSize = 8

// handleCancelRequest cancels the running request of another connection.
func (c *callerConn) handleCancelRequest(m *pgproto3.CancelRequest) {
	if other := c.server.cancelKeys.find(m.ProcessID, m.SecretKey); other != nil {
		other.cancelRunning()
	}
}

// completeStartup handles the startup message and answers it.
func (c *callerConn) completeStartup(m *pgproto3.StartupMessage) error {
	if refused := c.readOptions(m.Parameters); refused != nil {
		return c.closeWithError(refused)
	}
	if refused := c.register(); refused != nil {
		return c.closeWithError(refused)
	}
	c.server.cancelKeys.add(c)
	out := c.negotiateVersion(m)
	out = encode(out, &pgproto3.AuthenticationOk{})
	out = encode(out, &pgproto3.ParameterStatus{Name: "server_version", Value: c.server.cfg.ServerVersion})
	for _, p := range reportedSettings {
		out = encode(out, &p)
	}
	out = encode(out, &pgproto3.BackendKeyData{ProcessID: c.processID, SecretKey: c.secret})
	out = encode(out, &pgproto3.ReadyForQuery{TxStatus: statusIdle})
	if _, err := c.Write(out); err != nil {
		return err
	}
	c.reader.consumedBytes = c.reader.counter.total.Load()
	return c.conn.SetDeadline(time.Time{})
}

// negotiateVersion returns the message that tells a caller with a later protocol version or
// protocol options that only 3.0 is supported, nil if none is needed.
func (c *callerConn) negotiateVersion(m *pgproto3.StartupMessage) []byte {
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

// register counts the caller. It refuses the caller if there are too many, the server is
// draining or the pool does not exist.
func (c *callerConn) register() *refusal {
	if c.server.isDraining() {
		return notRun(stateCannotConnectNow, metrics.RefusedDraining, "the proxy is shutting down").asFatal()
	}
	view := c.server.cfg.Views.View()
	if view == nil || view.Generation == 0 && view.Groups.Len() == 0 {
		return notRun(stateCannotConnectNow, metrics.RefusedNoOwner, "the proxy has no manifest yet").asFatal()
	}
	if _, ok := view.Groups.Get(c.pool); !ok {
		return notRun(stateUnknownDatabase, metrics.RefusedUnknownPool, "database %q does not exist", c.pool).asFatal()
	}
	c.registered = true
	if c.server.countCallers(1) > int64(c.server.cfg.MaxCallers) {
		return notRun(stateTooManyConnections, metrics.RefusedTooManyCallers, "the proxy has %d callers' connections already", c.server.cfg.MaxCallers).asFatal()
	}
	return nil
}

// readOptions reads the startup parameters. A setting that would need session state is
// refused and not silently ignored.
func (c *callerConn) readOptions(params map[string]string) *refusal {
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
func (c *callerConn) readOption(name, value string) *refusal {
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
	case isDefaultSetting(name, value):
		return nil
	}
	return notRun(stateNotSupported, metrics.RefusedSessionState, "startup option %s=%q needs session state, which a pooled connection cannot keep", name, value).asFatal()
}

// readTimeout reads statement_timeout, the time that the caller waits for answers; 0 means
// the default.
func (c *callerConn) readTimeout(value string) *refusal {
	timeout, err := time.ParseDuration(value)
	if ms, numeric := strconv.ParseUint(value, 10, 31); numeric == nil {
		timeout, err = time.Duration(ms)*time.Millisecond, nil
	}
	if err != nil || timeout < 0 {
		return notRun(stateNotSupported, metrics.RefusedProtocol, "statement_timeout %q is not a time", value).asFatal()
	}
	if timeout > 0 {
		c.timeout = timeout
	}
	return nil
}

// splitOptions reads the settings in the startup parameter "options": -c name=value or
// --name=value, separated by spaces. A backslash escapes a space.
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
			return nil, notRun(stateNotSupported, metrics.RefusedProtocol, "startup option %q is not supported", field).asFatal()
		}
		options[name] = value
	}
	return options, nil
}

// splitEscaped splits s at spaces that are not escaped by a backslash.
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
