package owner

import (
	"bufio"
	"io"

	"github.com/jackc/pgx/v5/pgproto3"
)

func encodeQuery(sql string) []byte {
	buf, err := (&pgproto3.Query{String: sql}).Encode(nil)
	if err != nil {
		panic(err) // Only for queries above the protocol's limit of 1 GB.
	}
	return buf
}

func encodeCopyFail() []byte {
	buf, err := (&pgproto3.CopyFail{Message: "COPY is not supported through beryltrestle"}).Encode(nil)
	if err != nil {
		panic(err) // Unreachable for a short constant message.
	}
	return buf
}

// decodeRow returns the columns of an encoded DataRow message, nil if it is malformed.
func decodeRow(msg []byte) [][]byte {
	var row pgproto3.DataRow
	if err := row.Decode(msg[5:]); err != nil {
		return nil
	}
	cols := make([][]byte, len(row.Values))
	for i, v := range row.Values {
		cols[i] = append([]byte(nil), v...)
	}
	return cols
}

// sqlstateOf returns the SQLSTATE of an encoded ErrorResponse message.
func sqlstateOf(msg []byte) string {
	var e pgproto3.ErrorResponse
	if err := e.Decode(msg[5:]); err != nil {
		return "XX000"
	}
	return e.Code
}

func readFull(r *bufio.Reader, b []byte) error {
	_, err := io.ReadFull(r, b)
	return err
}

func errorMessage(sqlstate, text string) []byte {
	buf, err := (&pgproto3.ErrorResponse{Severity: "ERROR", SeverityUnlocalized: "ERROR", Code: sqlstate, Message: text}).Encode(nil)
	if err != nil {
		panic(err) // Unreachable for a short message.
	}
	return buf
}

func readyIdle() []byte { return []byte{'Z', 0, 0, 0, 5, 'I'} }
