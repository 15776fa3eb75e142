package control

import (
	"encoding/json"
	"iter"
	"maps"

	"github.com/cespare/xxhash/v2"
)

// shardCount is the number of maps that Groups is split into. With 6,800 pools,
// a change of one group copies a map of 27 entries.
const shardCount = 256

// Groups is an immutable map of group views by pool name. A version shares its
// unchanged shards with the one it was made from. The zero value is empty.
type Groups struct {
	shards [shardCount]map[string]*GroupView
	// local holds the pools that Local returns.
	local map[string]bool
	size  int
}

// NewGroups returns Groups that hold the views.
func NewGroups(views map[string]GroupView) *Groups { return (*Groups)(nil).withViews(views) }

// Get returns the view of a pool; false if the pool is not in the manifest.
func (g *Groups) Get(pool string) (GroupView, bool) {
	if g == nil {
		return GroupView{}, false
	}
	if v := g.shards[shardIndex(pool)][pool]; v != nil {
		return *v, true
	}
	return GroupView{}, false
}

// Len returns the number of pools.
func (g *Groups) Len() int {
	if g == nil {
		return 0
	}
	return g.size
}

// All returns all pools and their views, in no order.
func (g *Groups) All() iter.Seq2[string, GroupView] {
	return func(yield func(string, GroupView) bool) {
		if g == nil {
			return
		}
		for _, shard := range g.shards {
			for pool, v := range shard {
				if !yield(pool, *v) {
					return
				}
			}
		}
	}
}

// Local returns the pools whose group this daemon owns, claims or monitors, in
// no order.
func (g *Groups) Local() iter.Seq[string] {
	if g == nil {
		return func(func(string) bool) {}
	}
	return maps.Keys(g.local)
}

// withViews returns a copy of g with the views added; a view replaces the one of
// the same pool.
func (g *Groups) withViews(views map[string]GroupView) *Groups {
	next := &Groups{local: make(map[string]bool)}
	if g != nil {
		next.shards, next.size = g.shards, g.size
		maps.Copy(next.local, g.local)
	}
	var copied [shardCount]bool
	for pool, v := range views {
		i := shardIndex(pool)
		if !copied[i] {
			next.shards[i] = cloneShard(next.shards[i])
			copied[i] = true
		}
		next.setView(i, pool, v)
	}
	return next
}

// setView sets a view. The caller must have copied the shard.
func (g *Groups) setView(shard uint64, pool string, v GroupView) {
	if g.shards[shard][pool] == nil {
		g.size++
	}
	g.shards[shard][pool] = &v
	if v.isLocal() {
		g.local[pool] = true
		return
	}
	delete(g.local, pool)
}

// MarshalJSON writes an object with a key for each pool.
func (g *Groups) MarshalJSON() ([]byte, error) { return json.Marshal(maps.Collect(g.All())) }

// UnmarshalJSON reads what MarshalJSON wrote.
func (g *Groups) UnmarshalJSON(data []byte) error {
	var views map[string]GroupView
	if err := json.Unmarshal(data, &views); err != nil {
		return err
	}
	*g = *NewGroups(views)
	return nil
}

func cloneShard(shard map[string]*GroupView) map[string]*GroupView {
	if shard == nil {
		return make(map[string]*GroupView)
	}
	return maps.Clone(shard)
}

func shardIndex(pool string) uint64 { return xxhash.Sum64String(pool) % shardCount }
