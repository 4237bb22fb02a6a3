// Package logger writes log lines of key=value pairs without blocking the
// callers.
package logger

import (
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/phuslu/log"
)

// New returns a logger that writes one line of key=value pairs per event to out.
// If out is a [Writer] whose buffer is almost full, lines of level info and below
// are dropped first.
func New(out io.Writer) *log.Logger {
	warn := &log.ConsoleWriter{Writer: out, Formatter: formatLine}
	info := warn
	if w, ok := out.(*Writer); ok {
		info = &log.ConsoleWriter{Writer: infoWriter{w}, Formatter: formatLine}
	}
	return &log.Logger{
		Level:      log.InfoLevel,
		TimeFormat: "2006-01-02T15:04:05.000Z07:00",
		Writer:     &levelWriter{info: info, warn: warn},
	}
}

// levelWriter chooses a writer by the level of the line.
type levelWriter struct{ info, warn log.Writer }

// WriteEntry implements [log.Writer].
func (w *levelWriter) WriteEntry(e *log.Entry) (n int, err error) {
	if e.Level <= log.InfoLevel {
		return w.info.WriteEntry(e)
	}
	return w.warn.WriteEntry(e)
}

// formatLine writes the time, the level, the event and the fields of a log entry.
func formatLine(out io.Writer, args *log.FormatterArgs) (n int, err error) {
	var line strings.Builder
	fmt.Fprintf(&line, "time=%s level=%s event=%s", args.Time, args.Level, quote(args.Message))
	for _, pair := range args.KeyValues {
		fmt.Fprintf(&line, " %s=%s", pair.Key, quote(pair.Value))
	}
	line.WriteByte('\n')
	return io.WriteString(out, line.String())
}

// quote quotes empty values and those with a space, an equals sign, a quote, a
// newline or a tab.
func quote(value string) string {
	if value == "" || strings.ContainsAny(value, " =\"\n\t") {
		return strconv.Quote(value)
	}
	return value
}
