package rebalancer

import (
	"html/template"
	"io"
)

// The size of the picture, in pixels.
const (
	pictureHeight = 120
	barWidth      = 6
	barGap        = 2
)

// pictureOf is the page: a row of bars for each map, and the mean.
var pictureOf = template.Must(template.New("picture").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>Load per rank of {{.Group}}</title></head>
<body style="font-family:sans-serif">
<h1>Load per rank of {{.Group}}</h1>
{{range .Rows}}<h2>{{.Title}}: heaviest {{printf "%.2f" .Peak}} of the mean</h2>
<svg width="{{.Width}}" height="{{.Height}}" role="img" aria-label="{{.Title}}">
{{range .Bars}}<rect x="{{.X}}" y="{{.Y}}" width="{{.W}}" height="{{.H}}" fill="{{.Fill}}"><title>rank {{.Rank}}: {{printf "%.2f" .Load}}</title></rect>
{{end}}<line x1="0" x2="{{.Width}}" y1="{{.Mean}}" y2="{{.Mean}}" stroke="black" stroke-dasharray="4"/>
</svg>
{{end}}</body></html>
`))

// bar is one rank in the picture.
type bar struct {
	Rank       int
	Load       float64
	X, Y, W, H int
	Fill       string
}

// row is the picture of one map.
type row struct {
	Title         string
	Peak          float64
	Width, Height int
	Mean          int
	Bars          []bar
}

// WritePicture writes an HTML page that shows the load of each rank now, and
// before and after the latest plan that moved experts.
func WritePicture(out io.Writer, status Status) (err error) {
	top := 1.0
	for _, loads := range [][]float64{status.Loads, status.Before, status.After} {
		for _, load := range loads {
			top = max(top, load)
		}
	}
	page := struct {
		Group string
		Rows  []row
	}{Group: string(status.Group)}
	page.Rows = append(page.Rows, newRow("Now", status.Loads, top))
	if len(status.After) > 0 {
		page.Rows = append(page.Rows, newRow("Before the latest plan", status.Before, top))
		page.Rows = append(page.Rows, newRow("After the latest plan", status.After, top))
	}
	return pictureOf.Execute(out, page)
}

// newRow scales the loads so that top fills the height.
func newRow(title string, loads []float64, top float64) (r row) {
	r = row{
		Title:  title,
		Width:  len(loads) * (barWidth + barGap),
		Height: pictureHeight,
		Mean:   pictureHeight - int(pictureHeight/top),
	}
	for rank, load := range loads {
		height := int(pictureHeight * load / top)
		fill := "steelblue"
		if load > 1.1 {
			fill = "firebrick"
		}
		r.Peak = max(r.Peak, load)
		r.Bars = append(r.Bars, bar{
			Rank: rank, Load: load,
			X: rank * (barWidth + barGap), Y: pictureHeight - height, W: barWidth, H: height,
			Fill: fill,
		})
	}
	return r
}
