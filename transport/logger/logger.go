// Package logger writes log lines of key=value pairs and never blocks its callers.
package logger

import (
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/phuslu/log"
)

// New returns a logger that writes one line of key=value pairs for each
// event to out.
func New(out io.Writer) *log.Logger {
	all := &log.ConsoleWriter{Writer: out, Formatter: formatLine}
	info := all
	if w, ok := out.(*Writer); ok {
		info = &log.ConsoleWriter{Writer: lesser{w}, Formatter: formatLine}
	}
	return &log.Logger{
		Level:      log.InfoLevel,
		TimeFormat: "2006-01-02T15:04:05.000Z07:00",
		Writer:     &sorter{info: info, all: all},
	}
}

// sorter writes lines by their level.
type sorter struct{ info, all log.Writer }

// WriteEntry implements [log.Writer].
func (s *sorter) WriteEntry(e *log.Entry) (n int, err error) {
	if e.Level <= log.InfoLevel {
		return s.info.WriteEntry(e)
	}
	return s.all.WriteEntry(e)
}

// formatLine writes the time, the level, the event and the fields.
func formatLine(out io.Writer, args *log.FormatterArgs) (n int, err error) {
	var line strings.Builder
	fmt.Fprintf(&line, "time=%s level=%s event=%s", args.Time, args.Level, quote(args.Message))
	for _, pair := range args.KeyValues {
		fmt.Fprintf(&line, " %s=%s", pair.Key, quote(pair.Value))
	}
	line.WriteByte('\n')
	return io.WriteString(out, line.String())
}

// quote quotes values that would not read back as one word.
func quote(value string) string {
	if value == "" || strings.ContainsAny(value, " =\"\n\t") {
		return strconv.Quote(value)
	}
	return value
}
