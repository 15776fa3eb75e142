package groupctl

import (
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/beryltrestle/beryltrestle/coord/logpos"
	"github.com/beryltrestle/beryltrestle/internal/platform"
)

// statusColumns is the number of columns of each answer.
const statusColumns = 7

func parseStatus(row [][]byte) (platform.EndpointStatus, error) {
	var s platform.EndpointStatus
	if len(row) != statusColumns {
		return s, errors.Newf("row has %d columns instead of %d", len(row), statusColumns)
	}
	term, termErr := strconv.ParseUint(string(row[1]), 10, 64)
	appointedTerm, appointedErr := strconv.ParseUint(string(row[3]), 10, 64)
	received, receivedErr := logpos.Parse(string(row[5]))
	applied, appliedErr := logpos.Parse(string(row[6]))
	s.Role = platform.Role(row[0])
	s.Term = term
	s.Holder = string(row[2])
	s.AppointedTerm = appointedTerm
	s.Primary = string(row[4])
	s.Received = received
	s.Applied = applied
	return s, errors.Join(termErr, appointedErr, receivedErr, appliedErr)
}
