package reporter

import (
	"fmt"
	"math"
	"time"
)

// The measures of a plot in SVG units.
const (
	plotWidth  = 720.0
	plotHeight = 150.0
	plotLeft   = 44.0
	plotBottom = 24.0
	plotTop    = 8.0
	// leastTop is the least burn at the top of the axis.
	leastTop = 2.0
	barGap   = 1.0
	barLeast = 1.0
)

// plot is a bar chart of burn over time.
type plot struct {
	Title  string
	Width  float64
	Height float64
	Left   float64
	Base   float64
	Bars   []bar
	Lines  []line
	Ticks  []tick
}

// bar is one bucket.
type bar struct {
	X, Y, Width, Height float64
	Level               string
	Note                string
}

// line is a burn rate to compare with.
type line struct {
	Y     float64
	Text  string
	Level string
}

// tick is a label on the time axis.
type tick struct {
	X    float64
	Text string
}

// newPlot draws the points of a window that ends now.
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
			height = max(height, barLeast)
		}
		p.Bars = append(p.Bars, bar{
			X: left, Y: p.Base - height, Width: max(right-left-barGap, barLeast), Height: height,
			Level: level(point.Burn), Note: point.note(),
		})
	}
	p.Lines = lines(top, y)
	p.Ticks = ticks(start, end, w, x)
	return p
}

// axisTop returns the burn at the top of the axis.
func axisTop(points []Point) (top float64) {
	top = leastTop
	for _, point := range points {
		top = max(top, point.Burn)
	}
	return math.Ceil(top)
}

// lines returns the rates that fit on the axis, and its top.
func lines(top float64, y func(float64) float64) (list []line) {
	for _, rate := range []float64{1, 6, 14.4} {
		if rate <= top {
			list = append(list, line{Y: y(rate), Text: fmt.Sprintf("%g", rate), Level: level(rate)})
		}
	}
	return append(list, line{Y: y(top), Text: fmt.Sprintf("%g", top), Level: "axis"})
}

// tickCount is the number of labels on the time axis.
const tickCount = 6

// ticks labels the time axis.
func ticks(start, end time.Time, w window, x func(time.Time) float64) (list []tick) {
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

// note describes a point.
func (p Point) note() (text string) {
	return fmt.Sprintf("%s: burn %.2f, %d bad of %d calls", p.Start.UTC().Format("Jan 2 15:04"), p.Burn, p.Bad, p.Calls)
}

// level grades a burn rate.
func level(burn float64) (name string) {
	switch {
	case burn >= pagers[0].rate:
		return "page"
	case burn >= pagers[1].rate:
		return "high"
	case burn > 1:
		return "over"
	default:
		return "good"
	}
}
