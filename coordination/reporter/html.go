package reporter

import (
	_ "embed" // for the page template
	"fmt"
	"html/template"
	"io"
	"time"

	"github.com/cockroachdb/errors"
)

//go:embed report.html
var page string

var pageTemplate = template.Must(template.New("report").Funcs(template.FuncMap{
	"left":  Objective.formatLeft,
	"level": burnLevel,
	"rate":  func(burn float64) string { return fmt.Sprintf("%.2f", burn) },
	"stamp": func(at time.Time) string { return at.Format("2006-01-02 15:04 MST") },
	"last":  func(list []Window) Window { return list[window3d] },
	"hours": func(now time.Time, o Objective) plot {
		return newPlot("by hour over three days", now, windows[window3d], o.Hours)
	},
	"recent": func(now time.Time, o Objective) plot {
		return newPlot("by five minutes over six hours", now, windows[window6h], o.Recent)
	},
}).Parse(page))

// WriteHTML writes the report as one HTML page without external resources.
func (r Report) WriteHTML(out io.Writer) (err error) {
	return errors.Wrap(pageTemplate.Execute(out, r), "write report")
}
