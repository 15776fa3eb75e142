package owner

import (
	"bufio"
	"context"
	"encoding/binary"
	"fmt"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/beryltrestle/beryltrestle/coord/logpos"
	"github.com/beryltrestle/beryltrestle/internal/manifest"
	"github.com/beryltrestle/beryltrestle/internal/platform"
)

const (
	// connectTimeout is the timeout for opening a connection, which takes about 10 ms.
	connectTimeout = time.Second
	// asyncWriteBytes is the size above which a batch is written on a separate
	// goroutine. An endpoint may send answers before it has read the whole batch, and
	// would block if they were not read meanwhile.
	asyncWriteBytes = 32 << 10
	// maxMessageBytes is the largest message that is accepted from an endpoint.
	maxMessageBytes = 1 << 30
)

// conn is one connection to an endpoint. It carries one batch at a time.
type conn struct {
	address string
	// term is the group's term when the connection was opened. Connections of
	// earlier terms are not reused, since the endpoint may have truncated its log.
	term    uint64
	netConn net.Conn
	reader  *bufio.Reader
	pid     uint32
	secret  []byte
	// idle is true if the last answer was read to its end and the endpoint reported
	// that no transaction is open.
	idle bool
	// canceled is true after a cancel request was sent. It may reach the endpoint
	// late and cancel the next batch, so the connection is not reused.
	canceled bool
}

// batchResult summarizes the endpoint's answer to a batch.
type batchResult struct {
	// status is the transaction status after the batch: 'I', 'T' or 'E'.
	status byte
	// sqlstate is the SQLSTATE of the first error; empty if there was none.
	sqlstate string
	// position is a log position that covers everything that the batch wrote or read;
	// zero if it is not known.
	position logpos.Position
}

func dial(ctx context.Context, pool manifest.Pool, address string, term uint64) (*conn, error) {
	dsn := fmt.Sprintf("postgres://%s@%s/%s?sslmode=disable", pool.User, address, pool.Database)
	cfg, err := pgconn.ParseConfig(dsn)
	if err != nil {
		return nil, errors.Wrapf(err, "endpoint %s", address)
	}
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	pc, err := pgconn.ConnectConfig(ctx, cfg)
	if err != nil {
		return nil, errors.Wrapf(err, "connect to endpoint %s", address)
	}
	h, err := pc.Hijack()
	if err != nil {
		return nil, errors.Wrapf(err, "take over connection to endpoint %s", address)
	}
	return &conn{
		address: address,
		term:    term,
		netConn: h.Conn,
		reader:  bufio.NewReader(h.Conn),
		pid:     h.PID,
		secret:  h.SecretKey,
		idle:    true,
	}, nil
}

func (c *conn) close() { c.netConn.Close() }

// cancel asks the endpoint to cancel the running batch.
func (c *conn) cancel(ctx context.Context) {
	d := net.Dialer{Timeout: connectTimeout}
	nc, err := d.DialContext(ctx, "tcp", c.address)
	if err != nil {
		return
	}
	defer nc.Close()
	buf, err := (&pgproto3.CancelRequest{ProcessID: c.pid, SecretKey: c.secret}).Encode(nil)
	if err != nil {
		return
	}
	_ = nc.SetDeadline(time.Now().Add(connectTimeout))
	_, _ = nc.Write(buf)
}

// run sends the batch, followed by a query for the log position, and passes each
// message of the answer to the batch to sink. sink cannot stop the reading, so the
// connection stays usable; only after an error of run must it be closed.
func (c *conn) run(batch []byte, sink func(msg []byte)) (batchResult, error) {
	c.idle = false
	out := make([]byte, 0, len(batch)+len(positionQuery))
	out = append(out, batch...)
	out = append(out, positionQuery...)
	if err := c.send(out); err != nil {
		return batchResult{}, err
	}
	res, err := c.readBatch(sink)
	if err != nil {
		return res, err
	}
	res.position, err = c.readPosition()
	if err != nil {
		return res, err
	}
	c.idle = res.status == 'I'
	return res, nil
}

// exec runs a query of the owner itself with the simple query protocol. It returns
// the columns of the first row as text, nil if there is no row.
func (c *conn) exec(sql string) ([][]byte, batchResult, error) {
	c.idle = false
	if err := c.send(encodeQuery(sql)); err != nil {
		return nil, batchResult{}, err
	}
	var row [][]byte
	res, err := c.readBatch(func(msg []byte) {
		if msg[0] == 'D' && row == nil {
			row = decodeRow(msg)
		}
	})
	c.idle = err == nil && res.status == 'I'
	return row, res, err
}

func (c *conn) send(out []byte) error {
	if len(out) <= asyncWriteBytes {
		_, err := c.netConn.Write(out)
		return errors.Wrapf(err, "write to endpoint %s", c.address)
	}
	go func() {
		if _, err := c.netConn.Write(out); err != nil {
			c.close()
		}
	}()
	return nil
}

// readBatch passes the messages of one answer to sink, up to and including
// ReadyForQuery. It skips ParameterStatus and notifications, and ends a COPY that
// expects data from the caller.
func (c *conn) readBatch(sink func(msg []byte)) (batchResult, error) {
	var res batchResult
	for {
		msg, err := c.readMessage()
		if err != nil {
			return res, err
		}
		switch msg[0] {
		case 'S', 'A':
			continue
		case 'G', 'W':
			if err := c.send(copyFail); err != nil {
				return res, err
			}
			continue
		case 'E':
			if res.sqlstate == "" {
				res.sqlstate = sqlstateOf(msg)
			}
		case 'Z':
			res.status = msg[5]
			sink(msg)
			return res, nil
		}
		sink(msg)
	}
}

// readPosition reads the answer to the log position query. The query fails in a
// failed transaction; the position is then zero.
func (c *conn) readPosition() (logpos.Position, error) {
	var pos logpos.Position
	var parseErr error
	_, err := c.readBatch(func(msg []byte) {
		if msg[0] != 'D' {
			return
		}
		if row := decodeRow(msg); len(row) == 1 {
			pos, parseErr = logpos.Parse(string(row[0]))
		}
	})
	if err != nil {
		return pos, err
	}
	return pos, parseErr
}

// readMessage reads one message and returns it with its type and length.
func (c *conn) readMessage() ([]byte, error) {
	head, err := c.reader.Peek(5)
	if err != nil {
		return nil, errors.Wrapf(err, "read from endpoint %s", c.address)
	}
	n := binary.BigEndian.Uint32(head[1:])
	if n < 4 || n > maxMessageBytes {
		return nil, errors.Newf("endpoint %s sent a message of %d bytes", c.address, n)
	}
	msg := make([]byte, 1+n)
	if err := readFull(c.reader, msg); err != nil {
		return nil, errors.Wrapf(err, "read from endpoint %s", c.address)
	}
	if msg[0] == 'Z' && len(msg) != 6 {
		return nil, errors.Newf("endpoint %s sent a malformed ReadyForQuery", c.address)
	}
	return msg, nil
}

var (
	positionQuery = encodeQuery(platform.LogPositionQuery)
	copyFail      = encodeCopyFail()
)
