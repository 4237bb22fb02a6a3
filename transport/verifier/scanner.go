package verifier

import "net/http"

// Scanner reads the bytes of a connection up to the end of the head of a final response, and
// finds what the parsed response doesn't show: a field name that begins with a blank, whose
// line net/http joins to the one before, and the fields of interim responses. The zero value
// is ready for use.
type Scanner struct {
	// lines counts the lines of the current head that are complete, and column the bytes of the
	// line that isn't, which begins with first.
	lines, column int
	first         byte
	// hasVersion is set behind the version in the status line, and class is the first digit of
	// the status.
	hasVersion bool
	class      byte
	// isValue is set behind the colon of a field.
	isValue     bool
	isDone      bool
	isMalformed bool
}

// Scan scans the next bytes. It ignores those behind the head.
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

// scanField looks only for blanks. The parser rejects all other bytes that a name must not
// contain.
func (s *Scanner) scanField(b byte) {
	switch {
	case b == ':':
		s.isValue = true
	case !s.isValue && (b == ' ' || b == '\t'):
		s.isMalformed = true
	}
}

// endLine ends a line. An empty one ends the head, which another one follows if it is that of
// an interim response.
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

// Err returns [ErrMalformed] if the name of a field contained a blank.
func (s *Scanner) Err() (err error) {
	if s.isMalformed {
		return errBlankName
	}
	return nil
}

// IsDone reports whether the head of a final response has ended.
func (s *Scanner) IsDone() bool { return s.isDone }
