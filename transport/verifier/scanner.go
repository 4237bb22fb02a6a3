package verifier

import "net/http"

// minorColumn is the column of the minor version in a status line, after "HTTP/1.".
const minorColumn = len("HTTP/1.") + 1

// encodingName is the name of the field that announces chunks, in lower case.
const encodingName = "transfer-encoding"

// Scanner checks the raw bytes of a connection up to the end of the head of a final response. It
// finds what the parsed response doesn't show: lines that begin with whitespace, which net/http
// unfolds into the field before them, transfer encodings of HTTP/1.0, which it ignores, and the
// fields of interim responses. The zero value is ready for use.
type Scanner struct {
	// lines counts the complete lines of the current head, and column the bytes of the line
	// that follows, whose first byte is first.
	lines, column int
	first         byte
	// minor is the minor version in the status line, hasVersion is set after it, and class is
	// the first digit of the status.
	minor      byte
	hasVersion bool
	class      byte
	// isValue is set after the colon of a field. Before that, matched counts the bytes of its
	// name that are those of encodingName.
	isValue bool
	matched int
	isDone  bool
	err     error
}

// Scan scans the next bytes. It ignores those after the head.
func (s *Scanner) Scan(data []byte) {
	for _, b := range data {
		if s.isDone {
			return
		}
		if b == '\n' {
			s.endLine()
			continue
		}
		if s.column == 0 {
			s.first = b
		}
		s.column++
		if s.lines == 0 {
			s.scanStatusLine(b)
		} else {
			s.scanField(b)
		}
	}
}

func (s *Scanner) scanStatusLine(b byte) {
	switch {
	case s.column == minorColumn:
		s.minor = b
	case b == ' ':
		s.hasVersion = true
	case s.hasVersion && s.class == 0:
		s.class = b
	}
}

// scanField looks for whitespace in the name of a field: the parser rejects all other bytes that
// a name must not contain.
func (s *Scanner) scanField(b byte) {
	switch {
	case s.isValue:
	case b == ':':
		s.isValue = true
		if s.minor == '0' && s.matched == len(encodingName) && s.column == len(encodingName)+1 {
			s.err = errEncoding
		}
	case b == ' ' || b == '\t':
		s.err = errNameSpace
	case s.matched < len(encodingName) && toLower(b) == encodingName[s.matched]:
		s.matched++
	}
}

// toLower returns the lower case of a letter of ASCII.
func toLower(b byte) (lower byte) {
	if 'A' <= b && b <= 'Z' {
		return b + 'a' - 'A'
	}
	return b
}

// endLine ends a line. An empty line ends the head; after that of an interim response, another
// one follows.
func (s *Scanner) endLine() {
	isEmpty := s.column == 0 || s.column == 1 && s.first == '\r'
	switch {
	case !isEmpty:
		s.lines, s.column, s.isValue, s.matched = s.lines+1, 0, false, 0
	case s.class == '0'+http.StatusContinue/100:
		*s = Scanner{err: s.err}
	default:
		s.isDone = true
	}
}

// Err returns [ErrMalformed] if a field name contained whitespace, or a response of HTTP/1.0 had
// a transfer encoding.
func (s *Scanner) Err() (err error) { return s.err }

// IsDone reports whether the head of a final response has ended.
func (s *Scanner) IsDone() bool { return s.isDone }
