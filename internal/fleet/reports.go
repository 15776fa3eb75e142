package fleet

import (
	"github.com/beryltrestle/beryltrestle/coord/concurrency"
	"github.com/beryltrestle/beryltrestle/internal/gateway"
	fleetv1 "github.com/beryltrestle/beryltrestle/internal/gen/beryltrestle/fleet/v1"
)

// encodeReports converts reports on endpoints to protobuf.
func encodeReports(endpoints []gateway.EndpointReports) []*fleetv1.EndpointNews {
	var out []*fleetv1.EndpointNews
	for _, e := range endpoints {
		m := &fleetv1.EndpointNews{Endpoint: e.Endpoint}
		for _, r := range e.Reports {
			m.Reports = append(m.Reports, &fleetv1.EndpointReport{
				Rank: uint32(r.Rank), Hosts: uint32(r.Hosts), Limit: uint32(r.Limit),
				InFlight: uint32(r.InFlight), Waiting: uint32(r.Waiting), LastPriority: uint32(r.LastPriority),
				ServiceUs: r.ServiceTime.Microseconds(), AgeUs: r.Age.Microseconds(),
			})
		}
		out = append(out, m)
	}
	return out
}

// decodeReports converts reports on endpoints from protobuf. It leaves out those whose
// numbers are out of range, and counts them in msg.
func decodeReports(endpoints []*fleetv1.EndpointNews, msg *gateway.GossipMessage) []gateway.EndpointReports {
	var out []gateway.EndpointReports
	for _, m := range endpoints {
		e := gateway.EndpointReports{Endpoint: m.GetEndpoint()}
		for _, r := range m.GetReports() {
			if !msg.CountInvalid(validReport(r)) {
				continue
			}
			age, _ := decodeAge(r.GetAgeUs())
			e.Reports = append(e.Reports, gateway.EndpointReport{
				Report: concurrency.Report{
					Rank: int(r.GetRank()), Hosts: int(r.GetHosts()), Limit: int(r.GetLimit()),
					InFlight: int(r.GetInFlight()), Waiting: int(r.GetWaiting()), LastPriority: int(r.GetLastPriority()),
					ServiceTime: micros(r.GetServiceUs()),
				},
				Age: age,
			})
		}
		out = append(out, e)
	}
	return out
}
