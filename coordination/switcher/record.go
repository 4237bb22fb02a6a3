package switcher

import (
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/banyanplank/banyanplank"
)

// maxRecordMaps is the maximum number of maps in a record.
const maxRecordMaps = 4

// Record is the stored state of a group's expert maps. It is only replaced by
// conditional writes, and its fencing number never decreases.
type Record struct {
	Group banyanplank.GroupName
	// Fence is the fencing number of the latest coordinator. It is written
	// before that coordinator sends any order.
	Fence uint64
	// Current is the map that all ranks were last known to use.
	Current banyanplank.MapID
	// Pending is the map that a coordinator may be switching to, or zero.
	Pending banyanplank.MapID
	// Maps holds the pending and the current map and earlier ones, newest first.
	Maps []banyanplank.ExpertMap
}

// Map returns the map with the id. It returns false if the record does not
// contain it.
func (r Record) Map(id banyanplank.MapID) (m banyanplank.ExpertMap, ok bool) {
	for _, m := range r.Maps {
		if m.ID == id {
			return m, true
		}
	}
	return banyanplank.ExpertMap{}, false
}

// claimed returns the record with a later fencing number.
func (r Record) claimed(fence uint64) Record {
	r.Fence = fence
	return r
}

// announced returns the record with m as the pending map. It drops the oldest
// maps beyond the maximum but never the current one.
func (r Record) announced(m banyanplank.ExpertMap) Record {
	r.Pending = m.ID
	maps := []banyanplank.ExpertMap{m}
	for _, previous := range r.Maps {
		if previous.ID == r.Current || len(maps) < maxRecordMaps-1 {
			maps = append(maps, previous)
		}
	}
	r.Maps = maps
	return r
}

// settled returns the record with the given map as current and none pending.
func (r Record) settled(id banyanplank.MapID) Record {
	r.Current = id
	r.Pending = 0
	return r
}

// check returns an error if the record is invalid for the group.
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
		return errors.Newf("record of group %q does not contain its current map %d", group, r.Current)
	}
	return nil
}

// clone returns a copy of the record with its own slice of maps.
func (r Record) clone() Record {
	r.Maps = slices.Clone(r.Maps)
	return r
}
