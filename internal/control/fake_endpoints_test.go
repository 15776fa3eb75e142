package control_test

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/beryltrestle/beryltrestle/coord/logpos"
	"github.com/beryltrestle/beryltrestle/internal/platform"
)

const endpointLatency = time.Millisecond

var errDown = errors.New("endpoint is down")

// fakeEndpoint is one endpoint in memory. log holds the term of each entry; a
// lagging endpoint receives no entries.
type fakeEndpoint struct {
	status  platform.EndpointStatus
	log     []uint64
	down    bool
	lagging bool
}

// fakeEndpoints implements platform.GroupControl. A call to an endpoint that is
// down blocks until its context ends.
type fakeEndpoints struct {
	mu        sync.Mutex
	byAddress map[string]*fakeEndpoint
}

func newFakeEndpoints(addresses ...string) *fakeEndpoints {
	f := &fakeEndpoints{byAddress: make(map[string]*fakeEndpoint)}
	for _, a := range addresses {
		f.byAddress[a] = &fakeEndpoint{status: platform.EndpointStatus{Role: platform.RoleReplica}}
	}
	return f
}

// change calls do with an endpoint while no other call changes it.
func (f *fakeEndpoints) change(address string, do func(e *fakeEndpoint)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	do(f.byAddress[address])
}

// write appends an entry if the endpoint's role is primary.
func (f *fakeEndpoints) write(address string) (p logpos.Position, ok bool) {
	f.change(address, func(e *fakeEndpoint) {
		if ok = e.status.Role == platform.RolePrimary; ok {
			e.log = append(e.log, e.status.Term)
			p = e.end()
		}
	})
	return p, ok
}

func (e *fakeEndpoint) end() logpos.Position {
	if len(e.log) == 0 {
		return logpos.Position{}
	}
	return logpos.Position{Term: e.log[len(e.log)-1], Offset: uint64(len(e.log))}
}

// replicate copies the primary's log to its followers of the same term.
func (f *fakeEndpoints) replicate() {
	for _, e := range f.byAddress {
		p := f.byAddress[e.status.Primary]
		if e.status.Role != platform.RoleReplica || e.lagging || e.down || p == nil || p.down {
			continue
		}
		if p.status.Role == platform.RolePrimary && p.status.Term == e.status.Term {
			e.log = append([]uint64(nil), p.log...)
		}
	}
}

func (f *fakeEndpoints) call(
	ctx context.Context, address string, do func(e *fakeEndpoint) error,
) (platform.EndpointStatus, error) {
	time.Sleep(endpointLatency)
	f.mu.Lock()
	e := f.byAddress[address]
	if e.down {
		f.mu.Unlock()
		<-ctx.Done()
		return platform.EndpointStatus{}, errDown
	}
	defer f.mu.Unlock()
	f.replicate()
	if err := do(e); err != nil {
		return platform.EndpointStatus{}, err
	}
	e.status.Received = e.end()
	e.status.Applied = e.end()
	return e.status, nil
}

func (f *fakeEndpoints) Status(ctx context.Context, address string) (platform.EndpointStatus, error) {
	return f.call(ctx, address, func(*fakeEndpoint) error { return nil })
}

func (f *fakeEndpoints) AdvanceTerm(
	ctx context.Context, address string, term uint64, holder string,
) (platform.EndpointStatus, error) {
	return f.call(ctx, address, func(e *fakeEndpoint) error {
		s := &e.status
		if s.Term > term || s.Term == term && s.Holder != holder {
			return &platform.StaleTermError{Address: address, CallTerm: term, EndpointTerm: s.Term}
		}
		if s.Term < term && s.Role == platform.RolePrimary {
			s.Role = platform.RoleFenced
		}
		s.Term, s.Holder = term, holder
		return nil
	})
}

func (f *fakeEndpoints) Promote(
	ctx context.Context, address string, term uint64, holder string,
) (platform.EndpointStatus, error) {
	return f.call(ctx, address, func(e *fakeEndpoint) error {
		s := &e.status
		if s.Term != term || s.Holder != holder {
			return &platform.StaleTermError{Address: address, CallTerm: term, EndpointTerm: s.Term}
		}
		s.Role, s.AppointedTerm, s.Primary = platform.RolePrimary, term, ""
		e.log = append(e.log, term)
		return nil
	})
}

func (f *fakeEndpoints) Follow(
	ctx context.Context, address string, term uint64, holder, primary string,
) (platform.EndpointStatus, error) {
	return f.call(ctx, address, func(e *fakeEndpoint) error {
		s := &e.status
		if s.Term != term || s.Holder != holder {
			return &platform.StaleTermError{Address: address, CallTerm: term, EndpointTerm: s.Term}
		}
		s.Role, s.AppointedTerm, s.Primary = platform.RoleReplica, term, primary
		return nil
	})
}
