package storer_test

import (
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/standin/responder"
	"github.com/banyanplank/banyanplank/transport/storer"
)

// checkMalformed has the platform send text, and checks that it is taken for no reply: a read
// has none, and a write may have taken effect.
func checkMalformed(t *testing.T, text string) {
	t.Helper()
	is := is.New(t)
	r, err := responder.Start(text)
	is.NoErr(err)
	defer r.Close()
	s, err := storer.New("http://" + r.Address().String())
	is.NoErr(err)
	_, err = s.Get(t.Context(), "a")
	is.True(errors.Is(err, banyanplank.ErrUnavailable))
	_, err = s.Put(t.Context(), "a", nil, 0)
	is.True(errors.Is(err, banyanplank.ErrUncertain))
	is.True(errors.Is(s.Delete(t.Context(), "a", 7), banyanplank.ErrUncertain))
}

// TestReplyWithInvalidStatusIsUncertain guards against a write that counts as rejected, though
// it may have taken effect, since the status of the reply is invalid.
func TestReplyWithInvalidStatusIsUncertain(t *testing.T) {
	for name, statusLine := range map[string]string{
		"000": "HTTP/1.1 000 None", "sign": "HTTP/1.1 +20 OK", "protocol switch": "HTTP/1.1 101 Switching Protocols", "999": "HTTP/1.1 999 Much",
	} {
		t.Run(name, func(t *testing.T) {
			checkMalformed(t, statusLine+"\r\nETag: \"7\"\r\nContent-Length: 2\r\n\r\nok")
		})
	}
}

// TestReplyWithInvalidFieldNameIsUncertain guards against a reply that is used though a name of
// its fields holds whitespace or a control character.
func TestReplyWithInvalidFieldNameIsUncertain(t *testing.T) {
	for name, line := range map[string]string{"space": "X A: b", "space before the colon": "X-A : b", "leading space": " X-A: b", "leading tab": "\tX-A: b", "control character": "X\x01A: b"} {
		t.Run(name, func(t *testing.T) {
			checkMalformed(t, "HTTP/1.1 200 OK\r\nETag: \"7\"\r\n"+line+"\r\nContent-Length: 2\r\n\r\nok")
		})
	}
}
