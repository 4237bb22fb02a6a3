package storer_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/standin/platform"
	"github.com/banyanplank/banyanplank/transport/storer"
)

// startPlatform returns a fake platform and a client that calls it over HTTP.
func startPlatform(t *testing.T, options ...storer.Option) (p *platform.Platform, s *storer.Storer) {
	t.Helper()
	p = platform.New(platform.WithKey("secret"), platform.WithWatchTimeout(time.Second))
	server := httptest.NewServer(p.Handler())
	t.Cleanup(server.Close)
	options = append([]storer.Option{storer.WithKey("secret")}, options...)
	s, err := storer.New(server.URL, options...)
	is.New(t).NoErr(err)
	return p, s
}

func TestObjectsRoundTrip(t *testing.T) {
	cases := map[string]string{
		"plain":     "root",
		"directory": "shard/ab/cd",
		"special":   "a b/%2F?x=1#é+&",
	}
	for name, object := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, s := startPlatform(t)
			value := []byte{0, 1, 255, '\n'}
			position, err := s.Put(t.Context(), object, value, 0)
			is.NoErr(err)
			got, err := s.Get(t.Context(), object)
			is.NoErr(err)
			is.Equal(got, banyanplank.Object{Name: object, Version: position.Revision, Value: value})
			listed, err := s.List(t.Context(), object)
			is.NoErr(err)
			is.Equal(listed, []banyanplank.Object{got})
			is.NoErr(s.Delete(t.Context(), object, position.Revision))
			_, err = s.Get(t.Context(), object)
			is.True(errors.Is(err, banyanplank.ErrNotFound))
		})
	}
}

func TestPutMapsErrors(t *testing.T) {
	cases := map[string]struct {
		fault  func(p *platform.Platform)
		value  []byte
		expect banyanplank.Version
		want   error
		// applied is set if the write took effect despite the error.
		applied bool
	}{
		"conflict":   {func(*platform.Platform) {}, nil, 7, banyanplank.ErrConflict, false},
		"down":       {func(p *platform.Platform) { p.SetDown(true) }, nil, 0, banyanplank.ErrUnavailable, false},
		"reply lost": {func(p *platform.Platform) { p.LoseReplies(1) }, nil, 0, banyanplank.ErrUncertain, true},
		"too large":  {func(*platform.Platform) {}, make([]byte, banyanplank.MaxValueBytes+1), 0, banyanplank.ErrTooLarge, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p, s := startPlatform(t)
			c.fault(p)
			_, err := s.Put(t.Context(), "a", c.value, c.expect)
			is.True(errors.Is(err, c.want))
			_, err = p.Client().Get(t.Context(), "a")
			is.Equal(err == nil, c.applied)
		})
	}
}

func TestPutWithSlowReplyIsUncertain(t *testing.T) {
	is := is.New(t)
	p, s := startPlatform(t)
	p.SetDelay(0, time.Hour)
	ctx, cancel := context.WithCancel(t.Context())
	var group conc.WaitGroup
	group.Go(func() {
		defer cancel()
		_, _ = p.Client().Watch(t.Context(), "a", banyanplank.Position{})
	})
	_, err := s.Put(ctx, "a", nil, 0)
	is.True(errors.Is(err, banyanplank.ErrUncertain))
	group.Wait()
}

func TestPutMapsStatus(t *testing.T) {
	cases := map[string]struct {
		status int
		want   error
	}{
		"success without version": {http.StatusNoContent, banyanplank.ErrUncertain},
		"redirect":                {http.StatusFound, banyanplank.ErrUnavailable},
		"bad request":             {http.StatusBadRequest, banyanplank.ErrUnavailable},
		"wrong key":               {http.StatusUnauthorized, banyanplank.ErrUnavailable},
		"not found":               {http.StatusNotFound, banyanplank.ErrNotFound},
		"conflict":                {http.StatusPreconditionFailed, banyanplank.ErrConflict},
		"too large":               {http.StatusRequestEntityTooLarge, banyanplank.ErrTooLarge},
		"throttled":               {http.StatusTooManyRequests, banyanplank.ErrUnavailable},
		"internal error":          {http.StatusInternalServerError, banyanplank.ErrUncertain},
		"bad gateway":             {http.StatusBadGateway, banyanplank.ErrUncertain},
		"unavailable":             {http.StatusServiceUnavailable, banyanplank.ErrUnavailable},
		"gateway timeout":         {http.StatusGatewayTimeout, banyanplank.ErrUncertain},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Location", "/elsewhere")
				w.WriteHeader(c.status)
			}))
			defer server.Close()
			s, err := storer.New(server.URL)
			is.NoErr(err)
			_, err = s.Put(t.Context(), "a", nil, 0)
			is.True(errors.Is(err, c.want))
			_, err = s.Get(t.Context(), "a")
			is.True(!errors.Is(err, banyanplank.ErrUncertain))
			is.True(err != nil)
		})
	}
}

func TestUnreachablePlatformIsUnavailable(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := "http://" + listener.Addr().String()
	listener.Close()
	s, err := storer.New(address)
	is.NoErr(err)
	_, err = s.Put(t.Context(), "a", nil, 0)
	is.True(errors.Is(err, banyanplank.ErrUnavailable))
	is.True(!errors.Is(err, banyanplank.ErrUncertain))
}

func TestWrongKeyIsRefused(t *testing.T) {
	is := is.New(t)
	p, s := startPlatform(t, storer.WithKey("guess"))
	_, err := s.Put(t.Context(), "a", nil, 0)
	is.True(errors.Is(err, banyanplank.ErrUnavailable))
	is.True(errors.Is(err, banyanplank.ErrDenied))
	is.Equal(p.Calls().Put, 0)
}

func TestWatchOverHTTP(t *testing.T) {
	is := is.New(t)
	p, s := startPlatform(t)
	objects, err := s.Watch(t.Context(), "a", banyanplank.Position{})
	is.NoErr(err)
	is.Equal(len(objects), 0)
	position, err := p.Put(t.Context(), "a", []byte("1"), 0)
	is.NoErr(err)
	objects, err = s.Watch(t.Context(), "a", banyanplank.Position{})
	is.NoErr(err)
	is.Equal(objects, []banyanplank.Object{{Name: "a", Version: position.Revision, Value: []byte("1")}})
}

func TestWatchEndsAfterWait(t *testing.T) {
	is := is.New(t)
	p, s := startPlatform(t, storer.WithWait(time.Millisecond))
	objects, err := s.Watch(t.Context(), "a", banyanplank.Position{})
	is.NoErr(err)
	is.Equal(len(objects), 0)
	is.Equal(p.Calls().Watch, 1)
}

func TestSilentConnectionFailsWatch(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	s, err := storer.New("http://"+listener.Addr().String(), storer.WithWait(time.Millisecond), storer.WithTimeout(time.Millisecond))
	is.NoErr(err)
	_, err = s.Watch(t.Context(), "a", banyanplank.Position{})
	is.True(errors.Is(err, banyanplank.ErrUnavailable))
	is.True(errors.Is(err, context.DeadlineExceeded))
}

func TestWatchEndsWithContext(t *testing.T) {
	is := is.New(t)
	_, s := startPlatform(t)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := s.Watch(ctx, "a", banyanplank.Position{})
	is.True(errors.Is(err, banyanplank.ErrUnavailable))
	is.True(errors.Is(err, context.Canceled))
}

func TestInstancesOverHTTP(t *testing.T) {
	is := is.New(t)
	p, s := startPlatform(t)
	instance := banyanplank.Instance{ID: "i1", Zone: "a", State: banyanplank.InstanceLeaving}
	p.SetInstance(instance)
	instances, err := s.Instances(t.Context())
	is.NoErr(err)
	is.Equal(instances, []banyanplank.Instance{instance})
}

func TestNewChecksAddress(t *testing.T) {
	cases := map[string]string{
		"empty":     "",
		"no scheme": "10.0.0.1:80",
		"ftp":       "ftp://10.0.0.1",
		"malformed": "http://%zz",
	}
	for name, address := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := storer.New(address)
			is.New(t).True(err != nil)
		})
	}
}
