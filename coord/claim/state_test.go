package claim_test

import (
	"reflect"
	"testing"
	"time"

	"github.com/beryltrestle/beryltrestle/coord/claim"
	"github.com/beryltrestle/beryltrestle/coord/logpos"
)

// Guards against a field of State that Equal does not compare: a change of that field
// would not be published.
func TestEqualComparesEachField(t *testing.T) {
	values := []any{
		claim.PhaseOwning, true, uint64(7), "db0", logpos.Position{Term: 1}, time.Unix(1, 0),
		map[string]claim.EndpointState{"db0": {Reachable: true}}, claim.Owner{Address: "d0"},
	}
	fields := reflect.TypeFor[claim.State]()
	for i := range fields.NumField() {
		var changed claim.State
		f := reflect.ValueOf(&changed).Elem().Field(i)
		for _, v := range values {
			if reflect.TypeOf(v) == f.Type() {
				f.Set(reflect.ValueOf(v))
			}
		}
		if f.IsZero() {
			t.Fatalf("no value for field %s", fields.Field(i).Name)
		}
		if changed.Equal(claim.State{}) {
			t.Errorf("Equal ignores a change of %s", fields.Field(i).Name)
		}
	}
}

// Measures the comparison of two equal snapshots, which is made after each step.
func BenchmarkEqual(b *testing.B) {
	s := claim.State{Owned: true, Term: 7, LeaseStart: time.Unix(1, 0), Endpoints: map[string]claim.EndpointState{
		"db0": {Reachable: true}, "db1": {Reachable: true}, "db2": {Reachable: true},
	}}
	for b.Loop() {
		if !s.Equal(s) {
			b.Fatal("not equal")
		}
	}
}
