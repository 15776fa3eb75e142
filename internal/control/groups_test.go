package control

import (
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// Guards against Groups that change after they were published, and against a new
// version in which a group is missing or out of date.
func TestPublishedGroupsDoNotChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type version struct {
			groups *Groups
			want   map[string]GroupView
		}
		versions := []version{{NewGroups(nil), map[string]GroupView{}}}
		for range rapid.IntRange(1, 8).Draw(t, "versions") {
			last := versions[len(versions)-1]
			changes := make(map[string]GroupView)
			for range rapid.IntRange(0, 4).Draw(t, "changes") {
				pool := fmt.Sprint("pool-", rapid.IntRange(0, 999).Draw(t, "pool"))
				changes[pool] = GroupView{
					Term:  rapid.Uint64Range(1, 9).Draw(t, "term"),
					Owned: rapid.Bool().Draw(t, "owned"),
				}
			}
			want := maps.Clone(last.want)
			maps.Copy(want, changes)
			versions = append(versions, version{last.groups.withViews(changes), want})
		}
		for _, v := range versions {
			checkGroups(t, v.groups, v.want)
		}
	})
}

func checkGroups(t *rapid.T, g *Groups, want map[string]GroupView) {
	if got := maps.Collect(g.All()); !reflect.DeepEqual(got, want) || g.Len() != len(want) {
		t.Fatalf("%v instead of %v", got, want)
	}
	var local []string
	for pool, v := range want {
		if got, ok := g.Get(pool); !ok || !reflect.DeepEqual(got, v) {
			t.Fatalf("pool %s is %v instead of %v", pool, got, v)
		}
		if v.Owned {
			local = append(local, pool)
		}
	}
	if got := slices.Sorted(g.Local()); !slices.Equal(got, slices.Sorted(slices.Values(local))) {
		t.Fatalf("local pools %v instead of %v", got, local)
	}
	encoded, err := json.Marshal(g)
	if err != nil {
		t.Fatal(err)
	}
	var read Groups
	if err := json.Unmarshal(encoded, &read); err != nil || !reflect.DeepEqual(maps.Collect(read.All()), want) {
		t.Fatalf("%s is read as %v: %v", encoded, maps.Collect(read.All()), err)
	}
}
