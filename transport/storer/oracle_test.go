package storer_test

import (
	"maps"
	"net/http/httptest"
	"slices"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/standin/platform"
	"github.com/banyanplank/banyanplank/transport/storer"
)

// storeModel applies random operations to a client of a fake platform and tracks
// the objects that the platform must hold.
type storeModel struct {
	platform    *platform.Platform
	store       *storer.Storer
	is          *is.I
	objects     map[string]banyanplank.Object
	latest      banyanplank.Version
	unavailable bool
	loseReply   bool
}

var objectNames = []string{"a", "a/b", "b"}

// expectation draws the expected version of a write.
func (m *storeModel) expectation(t *rapid.T, name string) (expect banyanplank.Version) {
	current := m.objects[name].Version
	return rapid.SampledFrom([]banyanplank.Version{current, current, 0, m.latest + 1}).Draw(t, "expect")
}

// wantError returns the error that a write must return.
func (m *storeModel) wantError(allowed bool) (err error) {
	switch {
	case m.unavailable:
		return banyanplank.ErrUnavailable
	case !allowed:
		return banyanplank.ErrConflict
	case m.loseReply:
		return banyanplank.ErrUncertain
	default:
		return nil
	}
}

func (m *storeModel) put(t *rapid.T) {
	name := rapid.SampledFrom(objectNames).Draw(t, "name")
	value := rapid.SliceOfN(rapid.Byte(), 0, 8).Draw(t, "value")
	expect := m.expectation(t, name)
	position, err := m.store.Put(t.Context(), name, value, expect)
	want := m.wantError(expect == m.objects[name].Version)
	m.is.True(errors.Is(err, want))
	if want != nil && !errors.Is(want, banyanplank.ErrUncertain) {
		return
	}
	m.latest++
	m.loseReply = false
	m.objects[name] = banyanplank.Object{Name: name, Version: m.latest, Value: value}
	if want == nil {
		m.is.Equal(position.Revision, m.latest)
	}
}

func (m *storeModel) remove(t *rapid.T) {
	name := rapid.SampledFrom(objectNames).Draw(t, "name")
	current, ok := m.objects[name]
	expect := m.expectation(t, name)
	if expect == 0 {
		t.Skip("a delete needs a version")
	}
	err := m.store.Delete(t.Context(), name, expect)
	want := m.wantError(expect == current.Version)
	if !ok && !m.unavailable {
		want = banyanplank.ErrNotFound
	}
	m.is.True(errors.Is(err, want))
	if want == nil || errors.Is(want, banyanplank.ErrUncertain) {
		m.latest++
		m.loseReply = false
		delete(m.objects, name)
	}
}

func (m *storeModel) injectFault(t *rapid.T) {
	m.unavailable = rapid.Bool().Draw(t, "down")
	m.loseReply = rapid.Bool().Draw(t, "lost")
	m.platform.SetDown(m.unavailable)
	m.platform.LoseReplies(0)
	if m.loseReply {
		m.platform.LoseReplies(1)
	}
}

// checkReads compares the results of List and Get with the tracked objects.
func (m *storeModel) checkReads(t *rapid.T) {
	if m.unavailable {
		_, err := m.store.List(t.Context(), "")
		m.is.True(errors.Is(err, banyanplank.ErrUnavailable))
		return
	}
	listed, err := m.store.List(t.Context(), "a")
	m.is.NoErr(err)
	var want []banyanplank.Object
	for _, name := range slices.Sorted(maps.Keys(m.objects)) {
		got, err := m.store.Get(t.Context(), name)
		m.is.NoErr(err)
		m.is.Equal(got.Version, m.objects[name].Version)
		m.is.Equal(string(got.Value), string(m.objects[name].Value))
		if name[0] == 'a' {
			want = append(want, got)
		}
	}
	m.is.Equal(len(listed), len(want))
	for i := range want {
		m.is.Equal(listed[i].Name, want[i].Name)
		m.is.Equal(listed[i].Version, want[i].Version)
	}
}

// TestStoreMatchesModel guards against lost or phantom writes and wrong error
// classes when the platform is down or loses replies.
func TestStoreMatchesModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := platform.New()
		server := httptest.NewServer(p.Handler())
		defer server.Close()
		s, err := storer.New(server.URL)
		is.New(t).NoErr(err)
		m := &storeModel{platform: p, store: s, is: is.New(rt), objects: make(map[string]banyanplank.Object)}
		rt.Repeat(map[string]func(*rapid.T){"put": m.put, "delete": m.remove, "disturb": m.injectFault, "": m.checkReads})
	})
}
