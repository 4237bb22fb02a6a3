package stepper

import (
	"slices"
	"time"

	"github.com/banyanplank/banyanplank"
)

// Parameters of the demand estimate.
const (
	// demandDecayTime sets how fast earlier counts decay while the demand is stable: an
	// update multiplies them by demandDecayTime / (demandDecayTime + elapsed).
	demandDecayTime = 1500 * time.Millisecond
	// shiftThreshold is the share of choices that must move to other experts for earlier
	// counts to be discarded at once.
	shiftThreshold = 0.15
)

// demand estimates how often each expert is chosen. Ranks report counts that only grow
// while the rank runs.
type demand struct {
	lastCounts map[banyanplank.BackendID]banyanplank.RankCounts
	// recent holds the choices since the latest update, by layer and expert.
	recent [][]float64
	// weight holds the choices by layer and expert, decayed by age.
	weight    [][]float64
	experts   int
	updatedAt time.Time
}

// newDemand returns an empty estimate.
func newDemand(layers, experts int) *demand {
	d := &demand{experts: experts, lastCounts: make(map[banyanplank.BackendID]banyanplank.RankCounts)}
	for range layers {
		d.weight = append(d.weight, make([]float64, experts))
		d.recent = append(d.recent, make([]float64, experts))
	}
	return d
}

// matches reports whether the estimate is for an engine of the given shape.
func (d *demand) matches(layers, experts int) bool {
	return len(d.weight) == layers && d.experts == experts
}

// update adds the choices since the latest update. Earlier choices decay with age, and are
// discarded once the demand has shifted or 4*demandDecayTime has passed. Without any choice
// they stay, since a group that is idle or down says nothing about the demand.
func (d *demand) update(now time.Time) {
	if !d.hasRecent() {
		d.updatedAt = now
		return
	}
	keep := 0.0
	if elapsed := now.Sub(d.updatedAt); !d.updatedAt.IsZero() && elapsed < 4*demandDecayTime && d.shiftedShare() < shiftThreshold {
		keep = demandDecayTime.Seconds() / (elapsed.Seconds() + demandDecayTime.Seconds())
	}
	d.updatedAt = now
	for l, layer := range d.weight {
		for e := range layer {
			layer[e] = layer[e]*keep + d.recent[l][e]
		}
		clear(d.recent[l])
	}
}

// hasRecent reports whether there are choices since the latest update.
func (d *demand) hasRecent() bool {
	return slices.ContainsFunc(d.recent, func(layer []float64) bool { return sum(layer) > 0 })
}

// shiftedShare returns the share of recent choices that moved to other experts, in the
// layer where it is largest.
func (d *demand) shiftedShare() (share float64) {
	for l := range d.weight {
		before, now := sum(d.weight[l]), sum(d.recent[l])
		if before == 0 || now == 0 {
			continue
		}
		moved := 0.0
		for e := range d.weight[l] {
			moved += max(0, d.recent[l][e]/now-d.weight[l][e]/before)
		}
		share = max(share, moved)
	}
	return share
}

func sum(weights []float64) (total float64) {
	for _, w := range weights {
		total += w
	}
	return total
}

// addCounts adds the growth of the counts of a rank since its previous report.
func (d *demand) addCounts(id banyanplank.BackendID, counts banyanplank.RankCounts) {
	previous, known := d.lastCounts[id]
	d.lastCounts[id] = counts
	if len(counts.Counts) != d.experts*len(d.weight) {
		return
	}
	// Without earlier counts of the same epoch there is no growth to add.
	if !known || previous.Epoch != counts.Epoch || len(previous.Counts) != len(counts.Counts) {
		return
	}
	for i, n := range counts.Counts {
		if n >= previous.Counts[i] {
			d.recent[i/d.experts][i%d.experts] += float64(n - previous.Counts[i])
		}
	}
}
