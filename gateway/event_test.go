package gateway

import (
	"bytes"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/banyanplank/banyanplank"
)

// streamParts answers with a stream that arrives in parts.
func streamParts(parts ...string) handler {
	return func(w http.ResponseWriter, r *http.Request) {
		setSeal(w, r)
		w.Header().Set("Content-Type", mediaTypeEvents)
		for _, part := range parts {
			_, _ = io.WriteString(w, part)
			_ = http.NewResponseController(w).Flush()
		}
	}
}

// TestFurtherBlankLinesEndNoStream guards against a request that is never answered, and takes
// a core for ever, because its stream has more than one blank line behind an event.
func TestFurtherBlankLinesEndNoStream(t *testing.T) {
	tests := map[string]string{
		"one more LF":        "id: 1\ndata: a\n\n\nid: 2\ndata: b\n\n\n",
		"many more LF":       "id: 1\ndata: a\n\n\n\n\n\n\nid: 2\ndata: b\n\n",
		"one more CRLF":      "id: 1\r\ndata: a\r\n\r\n\r\nid: 2\r\ndata: b\r\n\r\n\r\n",
		"CRLF, then LF":      "id: 1\r\ndata: a\r\n\r\n\nid: 2\r\ndata: b\r\n\r\n\n",
		"LF, then CRLF":      "id: 1\ndata: a\n\n\r\nid: 2\ndata: b\n\n\r\n",
		"CRLF and LF":        "id: 1\r\ndata: a\r\n\nid: 2\r\ndata: b\r\n\n",
		"before the first":   "\n\n\nid: 1\ndata: a\n\nid: 2\ndata: b\n\n",
		"behind a comment":   "id: 1\ndata: a\n\n: ping\n\n\nid: 2\ndata: b\n\n",
		"carriage return":    "id: 1\ndata: a\r\r\n\n\nid: 2\ndata: b\n\n",
		"only at the end":    "id: 1\ndata: a\n\nid: 2\ndata: b\n\n\n\n\n\n",
		"a space in between": "id: 1\ndata: a\n\n \n\nid: 2\ndata: b\n\n",
	}
	for name, text := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for cut := range len(text) {
				g := newTestGateway(t, banyanplank.RouteSpec{Kind: banyanplank.RouteStream, Resumable: true, MaxAttempts: 2}, streamParts(text[:cut], text[cut:]))
				a := g.send(g.newRequest(t, http.MethodPost, "prompt"))
				is.NoErr(a.err)
				is.Equal(a.body, text)
			}
		})
	}
}

// TestResumedStreamSkipsBlankLines has a stream resume with events that the caller has, and
// with more than one blank line between them.
func TestResumedStreamSkipsBlankLines(t *testing.T) {
	is := is.New(t)
	next := strings.ReplaceAll(eventText(2, 5), "\n\n", "\n\n\n")
	g := newTestGateway(t, banyanplank.RouteSpec{Kind: banyanplank.RouteStream, Resumable: true, MaxAttempts: 2}, streamEvents(1, 3, "\n", true), streamParts(next))
	a := g.send(g.newRequest(t, http.MethodPost, "prompt"))
	is.NoErr(a.err)
	is.Equal(strings.ReplaceAll(a.body, "\n\n\n", "\n\n"), eventText(1, 5))
}

// FuzzEventEnd splits any bytes that arrive in two parts into events. It guards against a
// loop that takes nothing from its input, and against bytes that are lost or moved.
func FuzzEventEnd(f *testing.F) {
	for _, text := range []string{"id: 1\ndata: a\n\n\n", "id: 1\r\n\r\n\nid: 2\n\n", "\n\n\n", ": ping\n\r\n\r", "data: \r\r\n \n\n"} {
		f.Add([]byte(text), 3)
	}
	f.Fuzz(func(t *testing.T, data []byte, cut int) {
		is := is.New(t)
		split := func(text []byte) (events, rest []byte) {
			rest = text
			for end := eventEnd(rest); end > 0; end = eventEnd(rest) {
				is.True(end <= len(rest) && !isBlank(rest[:end]))
				events, rest = append(events, rest[:end]...), rest[end:]
			}
			return events, rest
		}
		whole, wholeRest := split(data)
		is.True(bytes.Equal(append(whole, wholeRest...), data))
		cut = max(0, min(cut, len(data)))
		first, rest := split(data[:cut])
		second, rest := split(append(bytes.Clone(rest), data[cut:]...))
		is.True(bytes.Equal(append(first, second...), whole))
		is.True(bytes.Equal(rest, wholeRest))
	})
}
