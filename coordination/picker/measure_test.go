package picker_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// figures are the measures of one run.
type figures struct {
	offered, good, refused, failed, falls int
	first, between                        [3]float64 // p50, p95, p99 in seconds
	hits                                  float64    // of what an all-knowing picker hits
}

// percentiles returns the 50th, 95th and 99th.
func percentiles(values []float64) (p [3]float64) {
	if len(values) == 0 {
		return p
	}
	slices.Sort(values)
	for i, share := range []float64{0.5, 0.95, 0.99} {
		p[i] = values[int(share*float64(len(values)-1))]
	}
	return p
}

// measure works the figures out from the requests after the first seconds.
func (w *world) measure(after time.Duration) (f figures) {
	var first, between []float64
	covered, best := 0, 0
	for _, o := range w.outcomes {
		if o.at < after {
			continue
		}
		f.offered++
		switch {
		case o.good():
			f.good++
		case o.refused:
			f.refused++
		case !o.ok:
			f.failed++
		}
		if o.ok {
			first = append(first, o.first.Seconds())
			between = append(between, o.gaps...)
			covered += o.covered
			best += o.best
		}
	}
	for _, f2 := range w.fakes {
		f.falls += f2.falls
	}
	f.first, f.between = percentiles(first), percentiles(between)
	f.hits = float64(covered) / float64(max(1, best))
	return f
}

func (f figures) String() string {
	return fmt.Sprintf("good %5.1f%% refused %5.1f%% failed %5.1f%% falls %3d first %.2f %.2f %.2f s between %3.0f %3.0f %3.0f ms hits %.2f",
		f.share(f.good), f.share(f.refused), f.share(f.failed), f.falls, f.first[0], f.first[1], f.first[2],
		f.between[0]*1000, f.between[1]*1000, f.between[2]*1000, f.hits)
}

func (f figures) share(count int) float64 { return 100 * float64(count) / float64(max(1, f.offered)) }

// settled is when the figures of a run begin to count.
const settled = 10 * time.Second

// tenAccounts is one large account among ten.
var tenAccounts = []float64{0.55, 0.05, 0.05, 0.05, 0.05, 0.05, 0.05, 0.05, 0.05, 0.05}

// jain returns the fairness index of the accounts' good answers.
func (w *world) jain(after time.Duration) float64 {
	good := make([]float64, len(w.accounts))
	for _, o := range w.outcomes {
		if o.at >= after && o.good() {
			good[o.account]++
		}
	}
	sum, squares := 0.0, 0.0
	for _, x := range good {
		sum += x
		squares += x * x
	}
	return sum * sum / (float64(len(good)) * squares)
}

// recovery returns how long after the given time it took until the 95th
// percentile of the first token was within its target again for good, and how
// many requests failed or were refused since.
func (w *world) recovery(since time.Duration) (back time.Duration, failed, refused int) {
	seconds := map[int][]float64{}
	for _, o := range w.outcomes {
		second := int((o.at - since).Seconds())
		switch {
		case o.ended < since || o.ok && o.at < since:
		case o.ok:
			seconds[second] = append(seconds[second], o.first.Seconds())
		case o.refused:
			refused++
		default:
			failed++
		}
	}
	for second, first := range seconds {
		if percentiles(first)[1] > firstTarget.Seconds() {
			back = max(back, time.Duration(second+1)*time.Second)
		}
	}
	return back, failed, refused
}

// threeHouses are equal accounts of which the first floods.
var threeHouses = []float64{0.6, 0.2, 0.2}

// TestFigures prints what each policy reaches under each load, and holds ours
// to the targets.
func TestFigures(t *testing.T) {
	if testing.Short() {
		t.Skip("plays 25 runs")
	}
	is := is.New(t)
	good := map[float64]int{}
	for _, name := range []string{"ours", "earlier", "round", "random", "least"} {
		for _, load := range []float64{0.7, 1, 2} {
			w := simulate(t, policies[name], scenario{load: load, span: 40 * time.Second, share: tenAccounts})
			f := w.measure(settled)
			t.Logf("%-8s load %.1f %v", name, load, f)
			if name == "ours" {
				good[load] = f.good
				is.Equal(f.falls, 0)
				is.True(f.first[1] <= firstTarget.Seconds())
				is.True(f.between[1] <= betweenTarget.Seconds())
			}
		}
		w := simulate(t, policies[name], scenario{load: 2, span: 40 * time.Second, share: threeHouses})
		t.Logf("%-8s houses  Jain %.4f %v", name, w.jain(settled), w.measure(settled))
		if name == "ours" {
			is.True(w.jain(settled) >= 0.99)
		}
		w = simulate(t, policies[name], scenario{load: 0.6, span: 60 * time.Second, share: tenAccounts, events: []event{
			{15 * time.Second, func(w *world) { w.cut("a", true) }},
			{35 * time.Second, func(w *world) { w.cut("a", false) }},
		}})
		back, failed, refused := w.recovery(15 * time.Second)
		t.Logf("%-8s zone loss, p95 back after %v, failed %d and refused %d of %d, falls %d",
			name, back, failed, refused, len(w.outcomes), w.measure(0).falls)
	}
	is.True(float64(good[2]) >= 0.95*float64(good[1]))
}
