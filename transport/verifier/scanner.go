package verifier

import "net/http"

// Scanner checks the field names in the raw bytes of a connection, up to the end of the head of
// a final response. It finds what the parsed response doesn't show: lines that begin with
// whitespace, which net/http unfolds into the field before them, and the fields of interim
// responses. The zero value is ready for use.
type Scanner struct {
	// lines counts the complete lines of the current head, and column the bytes of the line
	// that follows, whose first byte is first.
	lines, column int
	first         byte
	// hasVersion is set after the version in the status line, and class is the first digit of
	// the status.
	hasVersion bool
	class      byte
	// isValue is set after the colon of a field.
	isValue     bool
	isDone      bool
	isMalformed bool
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
	case b == ' ':
		s.hasVersion = true
	case s.hasVersion && s.class == 0:
		s.class = b
	}
}

// scanField looks only for whitespace: the parser rejects all other bytes that a name must not
// contain.
func (s *Scanner) scanField(b byte) {
	switch {
	case b == ':':
		s.isValue = true
	case !s.isValue && (b == ' ' || b == '\t'):
		s.isMalformed = true
	}
}

// endLine ends a line. An empty line ends the head; after that of an interim response, another
// one follows.
func (s *Scanner) endLine() {
	isEmpty := s.column == 0 || s.column == 1 && s.first == '\r'
	switch {
	case !isEmpty:
		s.lines, s.column, s.isValue = s.lines+1, 0, false
	case s.class == '0'+http.StatusContinue/100:
		*s = Scanner{isMalformed: s.isMalformed}
	default:
		s.isDone = true
	}
}

// Err returns [ErrMalformed] if a field name contained whitespace.
func (s *Scanner) Err() (err error) {
	if s.isMalformed {
		return errNameSpace
	}
	return nil
}

// IsDone reports whether the head of a final response has ended.
func (s *Scanner) IsDone() bool { return s.isDone }
