package stepper

import (
	"time"

	"github.com/banyanplank/banyanplank"
)

// The weighing of counts.
const (
	// memory is how long counts weigh while the demand stays as it is.
	memory = 1500 * time.Millisecond
	// shifted is the part of the choices that must go to other experts than
	// before for the earlier counts to be forgotten at once.
	shifted = 0.15
)

// demand measures how often each expert is chosen. Counts come by rank and only
// grow while the rank runs.
type demand struct {
	last map[banyanplank.BackendID]banyanplank.RankCounts
	// fresh is the choices since the latest turn.
	fresh [][]float64
	// weight is the choices by layer and expert, of which older ones count less.
	weight  [][]float64
	experts int
	at      time.Time
}

// newDemand returns a demand of which nothing is known.
func newDemand(layers, experts int) *demand {
	d := &demand{experts: experts, last: make(map[banyanplank.BackendID]banyanplank.RankCounts)}
	for range layers {
		d.weight = append(d.weight, make([]float64, experts))
		d.fresh = append(d.fresh, make([]float64, experts))
	}
	return d
}

// turn adds the choices since the last turn to the demand, in which earlier ones
// weigh less the older they are, and nothing once the demand has shifted.
func (d *demand) turn(now time.Time) {
	keep := 0.0
	if passed := now.Sub(d.at); !d.at.IsZero() && passed < 4*memory && d.shift() < shifted {
		keep = memory.Seconds() / (passed.Seconds() + memory.Seconds())
	}
	d.at = now
	for l, layer := range d.weight {
		for e := range layer {
			layer[e] = layer[e]*keep + d.fresh[l][e]
		}
		clear(d.fresh[l])
	}
}

// shift returns the part of the fresh choices that goes to other experts than
// before, in the layer where it is largest.
func (d *demand) shift() (part float64) {
	for l := range d.weight {
		before, now := sum(d.weight[l]), sum(d.fresh[l])
		if before == 0 || now == 0 {
			continue
		}
		moved := 0.0
		for e := range d.weight[l] {
			moved += max(0, d.fresh[l][e]/now-d.weight[l][e]/before)
		}
		part = max(part, moved)
	}
	return part
}

// sum adds up weights.
func sum(weights []float64) (total float64) {
	for _, w := range weights {
		total += w
	}
	return total
}

// add takes in the counts of a rank.
func (d *demand) add(id banyanplank.BackendID, counts banyanplank.RankCounts) {
	old, known := d.last[id]
	d.last[id] = counts
	if len(counts.Counts) != d.experts*len(d.weight) {
		return
	}
	// Without the counts before, nothing is known of the demand of now.
	if !known || old.Epoch != counts.Epoch || len(old.Counts) != len(counts.Counts) {
		return
	}
	for i, n := range counts.Counts {
		if n >= old.Counts[i] {
			d.fresh[i/d.experts][i%d.experts] += float64(n - old.Counts[i])
		}
	}
}
