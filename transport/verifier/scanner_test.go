package verifier_test

import (
	"bufio"
	"bytes"
	"net/http"
	"strings"
	"testing"

	"github.com/banyanplank/banyanplank/transport/verifier"
)

// FuzzScanner compares the scanner with the parser: it ends where the parser has a final
// response, whose fields then have valid names, and finds the same however the bytes are cut.
func FuzzScanner(f *testing.F) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nX-A: b c\r\n\r\nbody: x y\r\n",
		"HTTP/1.1  200\nX-A : b\n\n",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nX A: b\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX-A: b\r\n c\r\n\r\n", "HTTP/1.1 200 OK\r\nX-A: b\r\n \r\n\r\n", "HTTP/1.1 200 OK\r\nX-A: b\r\n\t: c\r\n\r\n",
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "HTTP/1.0 200 OK\r\nTTransfer-Encoding: x\r\nTransfer-Encodings: x\r\n\r\n",
		"HTTP/1.1 000 None\r\n\r\n", "HTTP/1.1 +10 None\r\n\r\n", "HTTP/1.1 200 OK\r\n\r\r\n\r\n", "\r\n\r\n", "\n", "",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		var whole, cut verifier.Scanner
		whole.Scan(text)
		for i := range text {
			cut.Scan(text[i : i+1])
		}
		if whole != cut {
			t.Fatalf("%+v when scanned at once, %+v byte by byte", whole, cut)
		}
		reader := bufio.NewReader(bytes.NewReader(text))
		for {
			response, err := http.ReadResponse(reader, nil)
			if err != nil || verifier.Verify(response) != nil {
				return
			}
			for name := range response.Header {
				if strings.ContainsAny(name, " \t") {
					t.Errorf("name %q is valid", name)
				}
			}
			if response.StatusCode >= http.StatusOK {
				break
			}
		}
		if !whole.IsDone() {
			t.Error("the scanner is behind the parser")
		}
		head, _, _ := bytes.Cut(bytes.ReplaceAll(text, []byte("\r\n"), []byte("\n")), []byte("\n\n"))
		if isFolded := bytes.Contains(head, []byte("\n ")) || bytes.Contains(head, []byte("\n\t")); isFolded && whole.Err() == nil {
			t.Error("a name that begins with whitespace is valid")
		}
	})
}
