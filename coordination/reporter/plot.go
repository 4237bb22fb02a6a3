package reporter

import (
	"fmt"
	"math"
	"time"
)

// Dimensions of a plot, in SVG user units.
const (
	plotWidth  = 720.0
	plotHeight = 150.0
	plotLeft   = 44.0
	plotBottom = 24.0
	plotTop    = 8.0
	// minAxisTop is the smallest burn rate at the top of the vertical axis.
	minAxisTop = 2.0
	barGap     = 1.0
	minBarSize = 1.0
)

// plot is a bar chart of the burn rate over time.
type plot struct {
	Title  string
	Width  float64
	Height float64
	Left   float64
	Base   float64
	Bars   []bar
	Lines  []referenceLine
	Ticks  []tick
}

// bar shows the burn rate of one bucket.
type bar struct {
	X, Y, Width, Height float64
	Level               string
	Note                string
}

// referenceLine is a horizontal line at a fixed burn rate.
type referenceLine struct {
	Y     float64
	Text  string
	Level string
}

// tick is a label on the time axis.
type tick struct {
	X    float64
	Text string
}

// newPlot returns the plot of the points in a window that ends now.
func newPlot(title string, now time.Time, w window, points []Point) (p plot) {
	p = plot{Title: title, Width: plotWidth, Height: plotHeight, Left: plotLeft, Base: plotHeight - plotBottom}
	start := now.Add(-w.span).Truncate(w.resolution)
	end := now.Truncate(w.resolution).Add(w.resolution)
	x := func(at time.Time) float64 {
		return plotLeft + (plotWidth-plotLeft)*float64(at.Sub(start))/float64(end.Sub(start))
	}
	top := axisTop(points)
	y := func(burn float64) float64 {
		return p.Base - (p.Base-plotTop)*min(burn, top)/top
	}
	for _, point := range points {
		left, right := max(x(point.Start), plotLeft), x(point.Start.Add(w.resolution))
		height := p.Base - y(point.Burn)
		if point.Bad > 0 {
			height = max(height, minBarSize)
		}
		p.Bars = append(p.Bars, bar{
			X: left, Y: p.Base - height, Width: max(right-left-barGap, minBarSize), Height: height,
			Level: burnLevel(point.Burn), Note: point.tooltip(),
		})
	}
	p.Lines = referenceLines(top, y)
	p.Ticks = timeTicks(start, end, w, x)
	return p
}

// axisTop returns the burn rate at the top of the vertical axis.
func axisTop(points []Point) (top float64) {
	top = minAxisTop
	for _, point := range points {
		top = max(top, point.Burn)
	}
	return math.Ceil(top)
}

// referenceLines returns lines at the burn rate that spends exactly the budget, at
// the alert rates if they fit on the axis, and at its top.
func referenceLines(top float64, y func(float64) float64) (list []referenceLine) {
	for _, rate := range []float64{1, 6, 14.4} {
		if rate <= top {
			list = append(list, referenceLine{Y: y(rate), Text: fmt.Sprintf("%g", rate), Level: burnLevel(rate)})
		}
	}
	return append(list, referenceLine{Y: y(top), Text: fmt.Sprintf("%g", top), Level: "axis"})
}

// tickCount is the number of labels on the time axis.
const tickCount = 6

// timeTicks returns the labels of the time axis, evenly spaced.
func timeTicks(start, end time.Time, w window, x func(time.Time) float64) (list []tick) {
	layout := "15:04"
	if w.span > 24*time.Hour {
		layout = "Jan 2 15:04"
	}
	for i := range tickCount {
		at := start.Add(time.Duration(i) * end.Sub(start) / tickCount).Truncate(w.resolution)
		list = append(list, tick{X: x(at), Text: at.UTC().Format(layout)})
	}
	return list
}

// tooltip returns a text with the time, burn rate and calls of the point.
func (p Point) tooltip() (text string) {
	return fmt.Sprintf("%s: burn %.2f, %d bad of %d calls", p.Start.UTC().Format("Jan 2 15:04"), p.Burn, p.Bad, p.Calls)
}

// burnLevel returns the level of a burn rate, which is also its CSS class in
// report.html.
func burnLevel(burn float64) (name string) {
	switch {
	case burn >= alertRules[0].rate:
		return "page"
	case burn >= alertRules[1].rate:
		return "high"
	case burn > 1:
		return "over"
	default:
		return "good"
	}
}
