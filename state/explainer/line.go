package explainer

import (
	"strconv"
	"strings"
	"time"
)

// Line is one parsed log line of a daemon.
type Line struct {
	At     time.Time         `json:"at"`
	Daemon string            `json:"daemon"`
	Event  string            `json:"event"`
	Fields map[string]string `json:"fields"`
}

// timePrefix starts every log line of a daemon.
const timePrefix = "time="

// Parse parses one log line of a daemon. It reports false for a line in another format.
// Words before the line, such as the time and the daemon's name in the output of a test
// bench, are dropped; the last of them replaces the given name of the daemon.
func Parse(daemon, text string) (line Line, ok bool) {
	start := strings.Index(text, timePrefix)
	if start < 0 {
		return line, false
	}
	if before := strings.Fields(text[:start]); len(before) > 0 {
		daemon = before[len(before)-1]
	}
	line = Line{Daemon: daemon, Fields: make(map[string]string)}
	rest := text[start:]
	for rest != "" {
		var key, value string
		if key, value, rest, ok = cutPair(rest); !ok {
			return line, false
		}
		line.Fields[key] = value
	}
	at, err := time.Parse(time.RFC3339Nano, line.Fields["time"])
	if err != nil || line.Fields["event"] == "" {
		return line, false
	}
	line.At, line.Event = at, line.Fields["event"]
	delete(line.Fields, "time")
	delete(line.Fields, "event")
	return line, true
}

// cutPair splits text after its first key=value pair, where the value may be quoted.
func cutPair(text string) (key, value, rest string, ok bool) {
	key, rest, ok = strings.Cut(strings.TrimLeft(text, " "), "=")
	if !ok || key == "" || strings.ContainsAny(key, " \"") {
		return "", "", "", false
	}
	if !strings.HasPrefix(rest, `"`) {
		value, rest, _ = strings.Cut(rest, " ")
		return key, strings.TrimRight(value, "\r\n"), strings.TrimLeft(rest, " \r\n"), true
	}
	quoted, err := strconv.QuotedPrefix(rest)
	if err != nil {
		return "", "", "", false
	}
	if value, err = strconv.Unquote(quoted); err != nil {
		return "", "", "", false
	}
	return key, value, strings.TrimLeft(rest[len(quoted):], " \r\n"), true
}

// number returns the value of a numeric field, or 0 if it is missing or invalid.
func (l *Line) number(field string) (n float64) {
	n, err := strconv.ParseFloat(l.Fields[field], 64)
	if err != nil {
		return 0
	}
	return n
}

// duration returns the value of a field in milliseconds, or 0 if it is missing or invalid.
func (l *Line) duration(field string) (d time.Duration) {
	return time.Duration(l.number(field) * float64(time.Millisecond))
}

// list returns the value of a field that is a list of names.
func (l *Line) list(field string) (names []string) {
	text := strings.Trim(l.Fields[field], "[]")
	if text == "" {
		return nil
	}
	for name := range strings.SplitSeq(text, ",") {
		names = append(names, strings.Trim(name, `" `))
	}
	return names
}
