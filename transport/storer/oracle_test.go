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

// machine drives a client and a stand-in and keeps what they should hold.
type machine struct {
	platform *platform.Platform
	store    *storer.Storer
	is       *is.I
	held     map[string]banyanplank.Object
	newest   banyanplank.Version
	down     bool
	lost     bool
}

var objectNames = []string{"a", "a/b", "b"}

// expectation draws the version that a write expects.
func (m *machine) expectation(t *rapid.T, name string) (expect banyanplank.Version) {
	current := m.held[name].Version
	return rapid.SampledFrom([]banyanplank.Version{current, current, 0, m.newest + 1}).Draw(t, "expect")
}

// want returns the error that a write must end with.
func (m *machine) want(allowed bool) (err error) {
	switch {
	case m.down:
		return banyanplank.ErrUnavailable
	case !allowed:
		return banyanplank.ErrConflict
	case m.lost:
		return banyanplank.ErrUncertain
	default:
		return nil
	}
}

func (m *machine) put(t *rapid.T) {
	name := rapid.SampledFrom(objectNames).Draw(t, "name")
	value := rapid.SliceOfN(rapid.Byte(), 0, 8).Draw(t, "value")
	expect := m.expectation(t, name)
	version, err := m.store.Put(t.Context(), name, value, expect)
	want := m.want(expect == m.held[name].Version)
	m.is.True(errors.Is(err, want))
	if want != nil && !errors.Is(want, banyanplank.ErrUncertain) {
		return
	}
	m.newest++
	m.lost = false
	m.held[name] = banyanplank.Object{Name: name, Version: m.newest, Value: value}
	if want == nil {
		m.is.Equal(version, m.newest)
	}
}

func (m *machine) remove(t *rapid.T) {
	name := rapid.SampledFrom(objectNames).Draw(t, "name")
	current, ok := m.held[name]
	expect := m.expectation(t, name)
	if expect == 0 {
		t.Skip("a delete needs a version")
	}
	err := m.store.Delete(t.Context(), name, expect)
	want := m.want(expect == current.Version)
	if !ok && !m.down {
		want = banyanplank.ErrNotFound
	}
	m.is.True(errors.Is(err, want))
	if want == nil || errors.Is(want, banyanplank.ErrUncertain) {
		m.newest++
		m.lost = false
		delete(m.held, name)
	}
}

func (m *machine) disturb(t *rapid.T) {
	m.down = rapid.Bool().Draw(t, "down")
	m.lost = rapid.Bool().Draw(t, "lost")
	m.platform.SetDown(m.down)
	m.platform.LoseReplies(0)
	if m.lost {
		m.platform.LoseReplies(1)
	}
}

// check compares all that can be read with what should be there.
func (m *machine) check(t *rapid.T) {
	if m.down {
		_, err := m.store.List(t.Context(), "")
		m.is.True(errors.Is(err, banyanplank.ErrUnavailable))
		return
	}
	listed, err := m.store.List(t.Context(), "a")
	m.is.NoErr(err)
	var want []banyanplank.Object
	for _, name := range slices.Sorted(maps.Keys(m.held)) {
		got, err := m.store.Get(t.Context(), name)
		m.is.NoErr(err)
		m.is.Equal(got.Version, m.held[name].Version)
		m.is.Equal(string(got.Value), string(m.held[name].Value))
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

func TestStoreAgainstOracle(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := platform.New()
		server := httptest.NewServer(p.Handler())
		defer server.Close()
		s, err := storer.New(server.URL)
		is.New(t).NoErr(err)
		m := &machine{platform: p, store: s, is: is.New(rt), held: make(map[string]banyanplank.Object)}
		rt.Repeat(map[string]func(*rapid.T){"put": m.put, "delete": m.remove, "disturb": m.disturb, "": m.check})
	})
}
