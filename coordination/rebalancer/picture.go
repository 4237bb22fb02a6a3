package rebalancer

import (
	"html/template"
	"io"
)

// Sizes in the picture, in pixels.
const (
	pictureHeight = 120
	barWidth      = 6
	barGap        = 2
)

// pictureTemplate is the HTML page: for each row, a bar chart of the ranks with
// a line at the mean load.
var pictureTemplate = template.Must(template.New("picture").Parse(`<!doctype html>
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

// bar is the bar of one rank, in pixels.
type bar struct {
	Rank       int
	Load       float64
	X, Y, W, H int
	Fill       string
}

// row is the bar chart of one expert map.
type row struct {
	Title         string
	Peak          float64
	Width, Height int
	Mean          int
	Bars          []bar
}

// WritePicture writes an HTML page with bar charts of the load of each rank:
// now, and before and after the latest plan that moved experts. It returns the
// error of writing to out.
func WritePicture(out io.Writer, status Status) (err error) {
	maxLoad := 1.0
	for _, loads := range [][]float64{status.Loads, status.Before, status.After} {
		for _, load := range loads {
			maxLoad = max(maxLoad, load)
		}
	}
	page := struct {
		Group string
		Rows  []row
	}{Group: string(status.Group)}
	page.Rows = append(page.Rows, newRow("Now", status.Loads, maxLoad))
	if len(status.After) > 0 {
		page.Rows = append(page.Rows, newRow("Before the latest plan", status.Before, maxLoad))
		page.Rows = append(page.Rows, newRow("After the latest plan", status.After, maxLoad))
	}
	return pictureTemplate.Execute(out, page)
}

// newRow returns the bar chart of the loads, scaled so that maxLoad fills the
// height.
func newRow(title string, loads []float64, maxLoad float64) (r row) {
	r = row{
		Title:  title,
		Width:  len(loads) * (barWidth + barGap),
		Height: pictureHeight,
		Mean:   pictureHeight - int(pictureHeight/maxLoad),
	}
	for rank, load := range loads {
		height := int(pictureHeight * load / maxLoad)
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
