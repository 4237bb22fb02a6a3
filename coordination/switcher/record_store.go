package switcher

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/banyanplank/banyanplank"
)

// Name prefixes of a group's objects.
const (
	recordPrefix = "groups/"
	mapPrefix    = "maps/"
)

// RecordStore stores a group's record and its maps in the object API. The record
// object holds only the ids of the maps. Each map is an object of its own. It is
// written before the first record that refers to it, never changed, and deleted
// after the first record that no longer does. The methods are safe for concurrent
// use.
type RecordStore struct {
	store banyanplank.ObjectStore
	group banyanplank.GroupName
	mutex sync.Mutex
	// storedMaps caches the maps known to be in the object API.
	storedMaps map[banyanplank.MapID]storedMap
}

// storedMap is a map in the object API.
type storedMap struct {
	expertMap banyanplank.ExpertMap
	version   banyanplank.Version
}

// NewRecordStore returns a record store for the group.
func NewRecordStore(store banyanplank.ObjectStore, group banyanplank.GroupName) *RecordStore {
	return &RecordStore{store: store, group: group, storedMaps: make(map[banyanplank.MapID]storedMap)}
}

// mapName returns the object name of a map.
func (s *RecordStore) mapName(id banyanplank.MapID) (name string) {
	return mapPrefix + string(s.group) + "/" + id.String()
}

// ReadFence reads the record without its maps. It sets Err of the result if the
// object can't be read or decoded, for example to [banyanplank.ErrNotFound].
func (s *RecordStore) ReadFence(ctx context.Context) (msg RecordMsg) {
	object, err := s.store.Get(ctx, recordPrefix+string(s.group))
	if err != nil {
		return RecordMsg{Err: err}
	}
	record, _, err := decodeRecord(object.Value)
	return RecordMsg{Record: record, Version: object.Version, Err: err}
}

// Read reads the record and its maps. It sets Err of the result if an object
// can't be read or decoded. Err is [banyanplank.ErrNotFound] if there is no record
// and [banyanplank.ErrUnavailable] if a map was deleted in the meantime.
func (s *RecordStore) Read(ctx context.Context) (msg RecordMsg) {
	object, err := s.store.Get(ctx, recordPrefix+string(s.group))
	if err != nil {
		return RecordMsg{Err: err}
	}
	record, ids, err := decodeRecord(object.Value)
	if err != nil {
		return RecordMsg{Err: err}
	}
	for _, id := range ids {
		m, err := s.readMap(ctx, id)
		if err != nil {
			return RecordMsg{Err: err}
		}
		record.Maps = append(record.Maps, m)
	}
	return RecordMsg{Record: record, Version: object.Version}
}

// readMap returns a map from the cache or reads it from the object API.
func (s *RecordStore) readMap(ctx context.Context, id banyanplank.MapID) (m banyanplank.ExpertMap, err error) {
	s.mutex.Lock()
	stored, ok := s.storedMaps[id]
	s.mutex.Unlock()
	if ok {
		return stored.expertMap, nil
	}
	object, err := s.store.Get(ctx, s.mapName(id))
	if errors.Is(err, banyanplank.ErrNotFound) {
		// The record was replaced after it was read and must be read again.
		return m, errors.Wrapf(banyanplank.ErrUnavailable, "read map %d", id)
	}
	if err != nil {
		return m, err
	}
	if m, err = decodeMap(object.Value); err != nil {
		return m, err
	}
	s.rememberMap(m, object.Version)
	return m, nil
}

// rememberMap adds a map to the cache.
func (s *RecordStore) rememberMap(m banyanplank.ExpertMap, version banyanplank.Version) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.storedMaps[m.ID] = storedMap{expertMap: m, version: version}
}

// Write stores the maps that are not stored yet, then the record. It sets Err of
// the result if a write fails, for example to [banyanplank.ErrConflict] if the
// version of the record is not the expected one.
func (s *RecordStore) Write(ctx context.Context, command WriteRecordCmd) (msg RecordMsg) {
	for _, m := range command.Record.Maps {
		if err := s.writeMap(ctx, m); err != nil {
			return RecordMsg{Err: err}
		}
	}
	value, err := encodeRecord(command.Record)
	if err != nil {
		return RecordMsg{Err: err}
	}
	position, err := s.store.Put(ctx, recordPrefix+string(s.group), value, command.Expect)
	if err != nil {
		return RecordMsg{Err: err}
	}
	s.deleteUnreferencedMaps(ctx, command.Record)
	return RecordMsg{Record: command.Record, Version: position.Revision}
}

// writeMap stores a map unless it is stored already. An existing object of the
// same name is the same map, because an id is never used twice. A failed write
// returns [banyanplank.ErrUnavailable], because an uncertain error would mean that
// the record may have been written.
func (s *RecordStore) writeMap(ctx context.Context, m banyanplank.ExpertMap) (err error) {
	s.mutex.Lock()
	_, ok := s.storedMaps[m.ID]
	s.mutex.Unlock()
	if ok {
		return nil
	}
	value, err := encodeMap(m)
	if err != nil {
		return err
	}
	position, err := s.store.Put(ctx, s.mapName(m.ID), value, 0)
	switch {
	case errors.Is(err, banyanplank.ErrConflict):
		_, err = s.readMap(ctx, m.ID)
		return err
	case err != nil:
		return errors.Wrapf(banyanplank.ErrUnavailable, "write map %d: %v", m.ID, err)
	}
	s.rememberMap(m, position.Revision)
	return nil
}

// deleteUnreferencedMaps deletes the cached maps that the record does not refer
// to. Objects that can't be deleted remain.
func (s *RecordStore) deleteUnreferencedMaps(ctx context.Context, record Record) {
	s.mutex.Lock()
	unreferenced := make(map[banyanplank.MapID]storedMap)
	for id, stored := range s.storedMaps {
		if _, ok := record.Map(id); !ok {
			unreferenced[id] = stored
			delete(s.storedMaps, id)
		}
	}
	s.mutex.Unlock()
	for id, stored := range unreferenced {
		_ = s.store.Delete(ctx, s.mapName(id), stored.version)
	}
}
