package switcher

import (
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/banyanplank/banyanplank"
)

// keptMaps is the number of maps whose places a record keeps.
const keptMaps = 4

// Record is what the object API holds of a group's expert maps. It is only
// replaced by a conditional write, and its fence never falls.
type Record struct {
	Group banyanplank.GroupName
	// Fence is the fencing number of the latest coordinator. It is written
	// before that coordinator gives any order.
	Fence uint64
	// Current is the map that was last found in use by all ranks.
	Current banyanplank.MapID
	// Pending is the map that a coordinator may be bringing into use, or zero.
	Pending banyanplank.MapID
	// Maps holds the places of the current, the pending and the maps before
	// them, newest first.
	Maps []banyanplank.ExpertMap
}

// Map returns the map with the id, if the record has kept it.
func (r Record) Map(id banyanplank.MapID) (m banyanplank.ExpertMap, ok bool) {
	for _, m := range r.Maps {
		if m.ID == id {
			return m, true
		}
	}
	return banyanplank.ExpertMap{}, false
}

// claimed returns the record under a later fencing number.
func (r Record) claimed(fence uint64) Record {
	r.Fence = fence
	return r
}

// announced returns the record with a map that is about to be prepared.
func (r Record) announced(m banyanplank.ExpertMap) Record {
	r.Pending = m.ID
	maps := []banyanplank.ExpertMap{m}
	for _, old := range r.Maps {
		if old.ID == r.Current || len(maps) < keptMaps-1 {
			maps = append(maps, old)
		}
	}
	r.Maps = maps
	return r
}

// settled returns the record with the map that all ranks use.
func (r Record) settled(id banyanplank.MapID) Record {
	r.Current = id
	r.Pending = 0
	return r
}

// check reports why the record can't be used for the group.
func (r Record) check(group banyanplank.GroupName, shape banyanplank.MapShape) (err error) {
	if r.Group != group {
		return errors.Newf("record of group %q, want %q", r.Group, group)
	}
	for _, m := range r.Maps {
		if err := m.CheckFor(group, shape); err != nil {
			return err
		}
	}
	if _, ok := r.Map(r.Current); !ok {
		return errors.Newf("record of group %q lacks its current map %d", group, r.Current)
	}
	return nil
}

// clone returns a record that shares no list with r.
func (r Record) clone() Record {
	r.Maps = slices.Clone(r.Maps)
	return r
}
