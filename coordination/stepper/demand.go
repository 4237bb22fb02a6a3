package stepper

import (
	"time"

	"github.com/banyanplank/banyanplank"
)

// memory is how long counts weigh. The demand for experts moves within seconds.
const memory = 1500 * time.Millisecond

// demand measures how often each expert is chosen. Counts come by rank and only
// grow while the rank runs.
type demand struct {
	last map[banyanplank.BackendID]banyanplank.RankCounts
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
	}
	return d
}

// age lets what is known weigh less.
func (d *demand) age(now time.Time) {
	keep := 0.0
	if passed := now.Sub(d.at); !d.at.IsZero() && passed < 4*memory {
		keep = 1 - passed.Seconds()/(passed.Seconds()+memory.Seconds())
	}
	d.at = now
	for _, layer := range d.weight {
		for e := range layer {
			layer[e] *= keep
		}
	}
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
			d.weight[i/d.experts][i%d.experts] += float64(n - old.Counts[i])
		}
	}
}
