package concurrency

import (
	"cmp"
	"slices"
	"time"
)

const (
	// ReportLifetime is how long a report counts. It is a few times the time that gossip
	// takes from one host to all others.
	ReportLifetime = 2 * time.Second
	// maxReports limits the reports that are kept and passed on for one endpoint. Where
	// connections are scarce, so many hosts connect to it. Where every host connects, the
	// newest ones suffice for the response time.
	maxReports = 3
)

// Report is what one host with connections to an endpoint sees there.
type Report struct {
	// Rank is the host's place among the hosts that connect to the endpoint, and Hosts
	// their number. A rank that two hosts claim while the hosts change costs one of two
	// reports for a moment.
	Rank, Hosts int
	// Limit is the number of statements of all hosts that the endpoint should have in
	// flight.
	Limit int
	// InFlight and Waiting are the host's statements at the endpoint, and those that wait
	// at the host.
	InFlight, Waiting int
	// LastPriority is the priority of the waiting statements that come last; 0 if there
	// are none.
	LastPriority int
	// ServiceTime is the mean response time of the endpoint.
	ServiceTime time.Duration
	AsOf        time.Time
}

// View holds what the hosts with connections to one endpoint report. The zero value is
// empty. It is not safe for concurrent use.
type View struct {
	reports []Report
}

// Merge adds a report. Of each rank the newest report is kept.
func (v *View) Merge(r Report) {
	i := slices.IndexFunc(v.reports, func(known Report) bool { return known.Rank == r.Rank })
	switch {
	case i < 0:
		v.reports = append(v.reports, r)
	case r.AsOf.After(v.reports[i].AsOf):
		v.reports[i] = r
	default:
		return
	}
	slices.SortFunc(v.reports, func(a, b Report) int { return cmp.Or(b.AsOf.Compare(a.AsOf), a.Rank-b.Rank) })
	v.reports = v.reports[:min(len(v.reports), maxReports)]
}

// With returns a copy of the view to which the report was added.
func (v *View) With(r Report) View {
	out := View{reports: slices.Clone(v.reports)}
	out.Merge(r)
	return out
}

// Fresh returns the reports that count, the newest first. They are about the number of
// hosts that the newest one names: after a change of the hosts, earlier ranks mean others.
func (v *View) Fresh(now time.Time) []Report {
	var out []Report
	for _, r := range v.reports {
		if now.Sub(r.AsOf) <= ReportLifetime && r.Hosts == v.reports[0].Hosts {
			out = append(out, r)
		}
	}
	return out
}

// Load is the load of an endpoint from all hosts together.
type Load struct {
	// Complete is true if nearly all hosts that connect to the endpoint have reported.
	// Otherwise only ServiceTime is known.
	Complete          bool
	Limit             int
	InFlight, Waiting int
	LastPriority      int
	ServiceTime       time.Duration
	// Age is the age of the oldest report that the load follows from.
	Age time.Duration
}

// Load returns the load of the endpoint. It returns false if there are no fresh reports.
// Hosts without a report are expected to have the mean of the others.
func (v *View) Load(now time.Time) (Load, bool) {
	reports := v.Fresh(now)
	if len(reports) == 0 {
		return Load{}, false
	}
	n := len(reports)
	hosts := reports[0].Hosts
	l := Load{Complete: 2*n > hosts, Age: now.Sub(reports[n-1].AsOf)}
	for _, r := range reports {
		l.Limit += r.Limit
		l.InFlight += r.InFlight
		l.Waiting += r.Waiting
		l.LastPriority = max(l.LastPriority, r.LastPriority)
		l.ServiceTime += r.ServiceTime / time.Duration(n)
	}
	l.Limit = max(l.Limit/n, 1)
	if !l.Complete {
		l.InFlight, l.Waiting = 0, 0
		return l, true
	}
	l.InFlight, l.Waiting = l.InFlight*hosts/n, l.Waiting*hosts/n
	return l, true
}

// OthersInFlight returns how many statements the other hosts have in flight.
func (v *View) OthersInFlight(now time.Time, rank int) int {
	sum := 0
	for _, r := range v.Fresh(now) {
		if r.Rank != rank {
			sum += r.InFlight
		}
	}
	return sum
}

// ExpectedWait returns how long a new statement takes, including its own run, if the given
// number of statements have been added since the reports. The service time contains the
// wait at the endpoint; what waits at the hosts follows at the rate of the limit.
func (l Load) ExpectedWait(added int) time.Duration {
	return l.ServiceTime + l.ServiceTime*time.Duration(l.Waiting+added)/time.Duration(l.Limit)
}

// LeastWait returns how long a new statement of the priority takes at least: if no statement
// was added since the reports, and none before which it goes counts. Many hosts may refuse
// by the same reports without leaving the endpoint without work, since what waits lasts at
// least that long.
func (l Load) LeastWait(priority int) time.Duration {
	if priority < l.LastPriority {
		return l.ServiceTime
	}
	queued := l.ServiceTime * time.Duration(l.Waiting) / time.Duration(l.Limit)
	return l.ServiceTime + max(queued-l.Age, 0)
}
