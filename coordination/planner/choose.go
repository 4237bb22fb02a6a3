package planner

import (
	"cmp"
	"slices"

	"github.com/banyanplank/banyanplank"
)

// segment is a run of consecutive steps of one layer that is taken as a unit.
type segment struct {
	layer int
	// The segment is steps[first:end].
	first int
	end   int
	// slope is the reduction of the layer's peak per slot filled.
	slope float64
}

// splitSegments splits the steps of a layer into segments of decreasing slope:
// the lower convex hull of the peak over the slots filled.
func splitSegments(layer int, startPeak float64, steps []step) (segments []segment) {
	first, loads, peak := 0, 0, startPeak
	for first < len(steps) {
		best, slope := -1, 0.0
		for i := first; i < len(steps); i++ {
			if s := (peak - steps[i].peak) / float64(steps[i].loads-loads); s > slope {
				best, slope = i, s
			}
		}
		if best < 0 {
			return segments
		}
		segments = append(segments, segment{layer: layer, first: first, end: best + 1, slope: slope})
		first, loads, peak = best+1, steps[best].loads, steps[best].peak
	}
	return segments
}

// chooseSteps takes the segments of all layers in order of decreasing slope,
// as long as the slope is above minSlope and the budget lasts. It returns how
// many steps of each layer are taken.
func chooseSteps(b *budget, minSlope float64, layerSteps [][]step, startPeaks []float64) (taken []int) {
	var segments []segment
	for i, steps := range layerSteps {
		segments = append(segments, splitSegments(i, startPeaks[i], steps)...)
	}
	slices.SortStableFunc(segments, func(x, y segment) int { return cmp.Compare(y.slope, x.slope) })
	taken = make([]int, len(layerSteps))
	exhausted := make([]bool, len(layerSteps))
	for _, r := range segments {
		if r.slope <= minSlope || exhausted[r.layer] {
			continue
		}
		end := takeSteps(b, minSlope, layerSteps[r.layer], taken[r.layer], r.end, startPeaks[r.layer])
		exhausted[r.layer] = end < r.end
		taken[r.layer] = end
	}
	return taken
}

// takeSteps reserves budget for steps[first:end]. If the budget runs out, it
// keeps the longest part whose slope is still above minSlope and releases the
// rest. It returns the end of the part that is kept.
func takeSteps(b *budget, minSlope float64, steps []step, first, end int, startPeak float64) (taken int) {
	loads, peak := 0, startPeak
	if first > 0 {
		loads, peak = steps[first-1].loads, steps[first-1].peak
	}
	reserved, profitable := first, first
	for reserved < end && b.reserve(steps[reserved].moves) {
		s := steps[reserved]
		reserved++
		if (peak-s.peak)/float64(s.loads-loads) > minSlope {
			profitable = reserved
		}
	}
	if reserved == end {
		return end
	}
	for _, s := range steps[profitable:reserved] {
		b.release(s.moves)
	}
	return profitable
}

// applySteps writes the moves of the steps to the places of m.
func applySteps(m *banyanplank.ExpertMap, steps []step) {
	for _, s := range steps {
		for _, v := range s.moves {
			m.Placement[m.Index(int(v.Layer), int(v.Rank), int(v.Slot))] = v.Expert
		}
	}
}
