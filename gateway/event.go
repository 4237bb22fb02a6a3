package gateway

import (
	"bytes"
	"strconv"
)

// lineEnds are the bytes that end a line: LF or CRLF.
const lineEnds = "\r\n"

// eventEnd returns the length of the first whole event in data, or 0 if there is none. An
// event ends with a blank line. Further blank lines belong to the event behind them.
func eventEnd(data []byte) (end int) {
	hasContent := false
	for line := range bytes.Lines(data) {
		end += len(line)
		switch {
		case line[len(line)-1] != '\n':
			return 0
		case !isBlank(line):
			hasContent = true
		case hasContent:
			return end
		}
	}
	return 0
}

// isBlank reports whether text has nothing but line ends.
func isBlank(text []byte) bool { return len(bytes.Trim(text, lineEnds)) == 0 }

// idPrefix starts the line with the id of an event.
var idPrefix = []byte("id:")

// eventID returns the id of an event, or "" if it has none.
func eventID(event []byte) (id string) {
	for line := range bytes.Lines(event) {
		if rest, ok := bytes.CutPrefix(line, idPrefix); ok {
			return string(bytes.TrimSpace(rest))
		}
	}
	return ""
}

// isSeen reports whether id is not greater than last. The ids of a stream increase.
func isSeen(id, last string) bool {
	a, errA := strconv.ParseUint(id, 10, 64)
	b, errB := strconv.ParseUint(last, 10, 64)
	return errA == nil && errB == nil && a <= b
}
