package fleet

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/beryltrestle/beryltrestle/coord/logpos"
	"github.com/beryltrestle/beryltrestle/coord/rows"
	"github.com/beryltrestle/beryltrestle/internal/gateway"
	fleetv1 "github.com/beryltrestle/beryltrestle/internal/gen/beryltrestle/fleet/v1"
)

// encodeGossip converts a gossip message to protobuf.
func encodeGossip(msg gateway.GossipMessage) *fleetv1.News {
	out := &fleetv1.News{
		Host: msg.Host, Incarnation: msg.Incarnation, Leaving: msg.Leaving,
		AgesUs: make(map[string]int64, len(msg.MirrorAges)), Silent: msg.Unresponsive, UnansweredUs: make(map[string]int64, len(msg.FailedCallAges)),
		Through: make(map[string]uint64, len(msg.MirrorVersions)),
	}
	for table, through := range msg.MirrorVersions {
		out.Through[string(table)] = through
	}
	for table, age := range msg.MirrorAges {
		out.AgesUs[string(table)] = age.Microseconds()
	}
	for host, age := range msg.FailedCallAges {
		out.UnansweredUs[host] = age.Microseconds()
	}
	if msg.EvidenceAge != nil {
		out.EvidenceAgeUs = proto.Int64(msg.EvidenceAge.Microseconds())
	}
	for _, g := range msg.Groups {
		out.Groups = append(out.Groups, &fleetv1.GroupNews{
			Group: g.Group, Term: g.Term, Primary: g.Primary, Fence: encodeFence(g.Fence), AgeUs: g.Age.Microseconds(),
			Position: encodePosition(g.Position), Endpoints: encodeReports(g.Endpoints),
		})
	}
	for _, t := range msg.Tables {
		out.Tables = append(out.Tables, encodeTableChanges(t))
	}
	return out
}

// encodeTableChanges converts the changes of a table to protobuf.
func encodeTableChanges(t gateway.TableChanges) *fleetv1.TableNews {
	out := &fleetv1.TableNews{Table: string(t.Table), From: t.From, Through: t.Through}
	for _, r := range t.Rows {
		out.Rows = append(out.Rows, &fleetv1.Row{Key: r.Key, Version: r.Version, Value: r.Value, Deleted: r.Deleted})
	}
	return out
}

// decodeGossip converts a gossip message from protobuf. It leaves out the parts whose numbers
// are out of range, and counts them.
func decodeGossip(m *fleetv1.News) gateway.GossipMessage {
	out := gateway.GossipMessage{
		Host: m.GetHost(), Incarnation: m.GetIncarnation(), Leaving: m.GetLeaving(),
		MirrorAges: make(map[gateway.TableName]time.Duration, len(m.GetAgesUs())), Unresponsive: m.GetSilent(), FailedCallAges: make(map[string]time.Duration, len(m.GetUnansweredUs())),
		MirrorVersions: make(map[gateway.TableName]uint64, len(m.GetThrough())),
	}
	for table, through := range m.GetThrough() {
		if out.CountInvalid(through <= maxVersion) {
			out.MirrorVersions[gateway.TableName(table)] = through
		}
	}
	for table, us := range m.GetAgesUs() {
		if age, ok := decodeAge(us); out.CountInvalid(ok) {
			out.MirrorAges[gateway.TableName(table)] = age
		}
	}
	for host, us := range m.GetUnansweredUs() {
		if age, ok := decodeAge(us); out.CountInvalid(ok) {
			out.FailedCallAges[host] = age
		}
	}
	if m.EvidenceAgeUs != nil {
		// Encoding rounds down to microseconds, and evidence must not look newer.
		if age, ok := decodeAge(m.GetEvidenceAgeUs()); out.CountInvalid(ok) {
			age += time.Microsecond
			out.EvidenceAge = &age
		}
	}
	for _, g := range m.GetGroups() {
		if !out.CountInvalid(validGroup(g)) {
			continue
		}
		age, _ := decodeAge(g.GetAgeUs())
		out.Groups = append(out.Groups, gateway.GroupState{
			Group: g.GetGroup(), Term: g.GetTerm(), Primary: g.GetPrimary(), Fence: decodeFence(g.GetFence()),
			Position: decodePosition(g.GetPosition()),
			Age:      age, Endpoints: decodeReports(g.GetEndpoints(), &out),
		})
	}
	for _, t := range m.GetTables() {
		if out.CountInvalid(validChanges(t)) {
			out.Tables = append(out.Tables, decodeTableChanges(t))
		}
	}
	return out
}

// decodeTableChanges converts the changes of a table from protobuf.
func decodeTableChanges(m *fleetv1.TableNews) gateway.TableChanges {
	out := gateway.TableChanges{Table: gateway.TableName(m.GetTable()), From: m.GetFrom(), Through: m.GetThrough()}
	for _, r := range m.GetRows() {
		out.Rows = append(out.Rows, rows.Row{Key: r.GetKey(), Version: r.GetVersion(), Value: r.GetValue(), Deleted: r.GetDeleted()})
	}
	return out
}

// encodeFence converts a fence state to protobuf.
func encodeFence(f gateway.FenceState) *fleetv1.Fence {
	return &fleetv1.Fence{Term: f.Term, Version: f.Version, Withdrawn: f.Withdrawn, EndedTerm: f.EndedTerm}
}

// decodeFence converts a fence state from protobuf.
func decodeFence(m *fleetv1.Fence) gateway.FenceState {
	return gateway.FenceState{Term: m.GetTerm(), Version: m.GetVersion(), Withdrawn: m.GetWithdrawn(), EndedTerm: m.GetEndedTerm()}
}

// encodeFenceReply converts the answer to a fence request to protobuf. Rounding must not turn
// the negative age, which means that the primary never answered, into zero.
func encodeFenceReply(r gateway.FenceReply) *fleetv1.FenceResponse {
	ago := r.PrimaryAnsweredAgo.Microseconds()
	if r.PrimaryAnsweredAgo < 0 {
		ago = min(ago, -1)
	}
	return &fleetv1.FenceResponse{Term: r.Term, AnsweredAgoUs: ago, Direct: r.Direct, SettledVersion: r.SettledVersion}
}

// decodeFenceReply converts the answer to a fence request from protobuf.
func decodeFenceReply(m *fleetv1.FenceResponse) gateway.FenceReply {
	return gateway.FenceReply{Term: m.GetTerm(), PrimaryAnsweredAgo: micros(m.GetAnsweredAgoUs()), Direct: m.GetDirect(), SettledVersion: m.GetSettledVersion()}
}

// encodePosition converts a log position to protobuf.
func encodePosition(p logpos.Position) *fleetv1.Position {
	return &fleetv1.Position{Term: p.Term, Offset: p.Offset}
}

// decodePosition converts a log position from protobuf.
func decodePosition(m *fleetv1.Position) logpos.Position {
	return logpos.Position{Term: m.GetTerm(), Offset: m.GetOffset()}
}
