package soak

import (
	"encoding/json"
	"fmt"
	"html/template"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// Report is the result of a run. Times are relative to the start of the run.
type Report struct {
	Seed     uint64    `json:"seed"`
	Entries  int       `json:"entries"`
	Callers  int       `json:"callers"`
	Rounds   int       `json:"rounds"`
	Faults   []*Fault  `json:"faults"`
	Promises []Promise `json:"promises"`
	// Seconds counts the calls by the second in which they began.
	Seconds []Second `json:"seconds"`
	// Recoveries lists for each round how long after its faults the last call began that
	// should have been served but was not.
	Recoveries []time.Duration `json:"recoveries"`
	StoreCalls int             `json:"store_calls"`
	// PeakMemory is the highest resident memory of an entry, in bytes.
	PeakMemory int64 `json:"memory_most"`
	// Dir is the directory of the entries' settings and logs.
	Dir string `json:"dir"`
}

// Second counts the calls that began in one second of a run, by result.
type Second struct {
	Served  int `json:"served"`
	Refused int `json:"refused"`
	Broken  int `json:"broken"`
	Other   int `json:"other"`
}

// Passed reports whether no promise was broken.
func (r *Report) Passed() (passed bool) {
	for _, p := range r.Promises {
		if len(p.Broken) > 0 {
			return false
		}
	}
	return true
}

// report summarizes a run.
func (h *harness) report(records []*record) (r *Report) {
	r = &Report{
		Seed: h.seed, Entries: len(h.entries), Callers: h.callers, Rounds: h.rounds,
		Faults: h.faults, Promises: h.check(records), StoreCalls: h.store.Calls(), Dir: h.dir,
	}
	r.Recoveries = h.recoveries
	for _, e := range h.entries {
		r.PeakMemory = max(r.PeakMemory, e.peakMemory)
	}
	r.Seconds = make([]Second, int(time.Since(h.startTime).Seconds())+1)
	for _, c := range records {
		s := &r.Seconds[int(c.begin.Sub(h.startTime).Seconds())]
		switch {
		case c.isServed():
			s.Served++
		case c.err != nil || !c.reply.Complete:
			s.Broken++
		case c.reply.Status == http.StatusServiceUnavailable:
			s.Refused++
		default:
			s.Other++
		}
	}
	return r
}

// WriteJSON writes the report as JSON. Durations are in nanoseconds. It returns an error of w.
func (r *Report) WriteJSON(w io.Writer) (err error) {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(r), "write report")
}

// WriteHTML writes the report as an HTML page with plots. It returns an error of w.
func (r *Report) WriteHTML(w io.Writer) (err error) {
	return errors.Wrap(reportPage.Execute(w, r), "write report")
}

// The scale of the plots.
const (
	pixelsPerSecond = 16
	pixelsPerCall   = 1
	pixelsPerFault  = 12
)

var reportPage = template.Must(template.New("report").Funcs(template.FuncMap{
	"x":     func(d time.Duration) float64 { return d.Seconds() * pixelsPerSecond },
	"left":  func(i int) int { return i * pixelsPerSecond },
	"high":  func(n int) int { return n * pixelsPerCall },
	"row":   func(i int) int { return i * pixelsPerFault },
	"above": func(counts ...int) (y int) { return 300 - sum(counts)*pixelsPerCall },
	"less":  func(a, b time.Duration) time.Duration { return a - b },
}).Parse(`<!doctype html><meta charset="utf-8"><title>soak, seed {{.Seed}}</title>
<h1>Soak, seed {{.Seed}}</h1>
<p>{{.Entries}} entries, {{.Callers}} callers, {{.Rounds}} rounds; {{.StoreCalls}} calls to the store, peak resident memory of an entry {{.PeakMemory}} bytes.</p>
<h2>Calls in each second: served green, refused orange, broken red, other grey</h2>
<svg width="{{left (len .Seconds)}}" height="300">{{range $i, $s := .Seconds}}
<rect x="{{left $i}}" width="12" y="{{above .Served}}" height="{{high .Served}}" fill="green"/>
<rect x="{{left $i}}" width="12" y="{{above .Served .Refused}}" height="{{high .Refused}}" fill="orange"/>
<rect x="{{left $i}}" width="12" y="{{above .Served .Refused .Broken}}" height="{{high .Broken}}" fill="red"/>
<rect x="{{left $i}}" width="12" y="{{above .Served .Refused .Broken .Other}}" height="{{high .Other}}" fill="grey"/>{{end}}</svg>
<h2>Faults</h2>
<svg width="{{left (len .Seconds)}}" height="{{row (len .Faults)}}" font-size="10">{{range $i, $f := .Faults}}
<rect x="{{x .At}}" width="{{x (less .Until .At)}}" y="{{row $i}}" height="10" fill="{{if .Harmless}}lightblue{{else}}salmon{{end}}"/>
<text x="{{x .At}}" y="{{row $i}}" dy="9">{{.Kind}}: {{.Target}}</text>{{end}}</svg>
<h2>Promises</h2>
<ul>{{range .Promises}}<li>{{if .Broken}}<b>broken</b>{{else}}kept{{end}}: {{.Name}}, {{.Checked}} checked<ul>{{range .Broken}}<li>{{.}}{{end}}</ul>{{end}}</ul>
<h2>Time from the faults of each round to the last unserved call</h2>
<ul>{{range .Recoveries}}<li>{{.}}{{end}}</ul>
`))

func sum(counts []int) (total int) {
	for _, n := range counts {
		total += n
	}
	return total
}

// Summary returns the counts of calls and of violations, and a line for each violation.
func (r *Report) Summary() (text string) {
	total, violations := Second{}, 0
	for _, s := range r.Seconds {
		total.Served += s.Served
		total.Refused += s.Refused
		total.Broken += s.Broken
		total.Other += s.Other
	}
	for _, p := range r.Promises {
		violations += len(p.Broken)
		for _, b := range p.Broken {
			text += fmt.Sprintf("seed %d: BROKEN %s: %s (logs in %s)\n", r.Seed, p.Name, b, r.Dir)
		}
	}
	return fmt.Sprintf("seed %d: %d violations, %d faults, %d calls served, %d refused, %d cut off, %d other, recovered after %v, peak memory %d MB\n",
		r.Seed, violations, len(r.Faults), total.Served, total.Refused, total.Broken, total.Other, r.Recoveries, r.PeakMemory>>20) + text
}
