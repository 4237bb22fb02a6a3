package planner_test

import (
	"math"
	"math/rand/v2"
)

// demand is the popularity of the experts over time.
type demand struct {
	// base and other are two profiles of log-normal weights.
	base  []float64
	other []float64
	drift []float64
	at    func(d *demand, minute, i int) float64
}

// newDemand returns seeded profiles.
func newDemand(seed uint64, at func(*demand, int, int) float64) *demand {
	r := rand.New(rand.NewPCG(seed, 1))
	d := &demand{at: at}
	for range benchLayers * benchExperts {
		d.base = append(d.base, math.Exp(r.NormFloat64()))
		d.other = append(d.other, math.Exp(r.NormFloat64()))
		d.drift = append(d.drift, r.NormFloat64())
	}
	return d
}

// patterns are the patterns of the demand over time.
var patterns = map[string]struct {
	// scale is how many minutes of the demand pass in one minute of the run.
	scale int
	at    func(d *demand, minute, i int) float64
}{
	"steady": {1, func(d *demand, _, i int) float64 { return d.base[i] }},
	"slow drift": {1, func(d *demand, minute, i int) float64 {
		return d.base[i] * math.Exp(d.drift[i]*0.01*float64(minute))
	}},
	"daily swing": {minutesOfADay / benchMinutes, func(d *demand, minute, i int) float64 {
		share := 0.5 - 0.5*math.Cos(2*math.Pi*float64(minute)/minutesOfADay)
		return math.Pow(d.base[i], 1-share) * math.Pow(d.other[i], share)
	}},
	"sudden flip": {1, func(d *demand, minute, i int) float64 {
		if minute < benchMinutes/2 {
			return d.base[i]
		}
		return d.other[i]
	}},
	"runaway expert": {1, func(d *demand, minute, i int) float64 {
		if minute >= benchMinutes/2 && i%benchExperts == 17 {
			return d.base[i] + 20
		}
		return d.base[i]
	}},
}

// sample returns the tokens a second of all experts in one sample of a minute.
func (d *demand) sample(r *rand.Rand, ranks, minute int) (tokens []float32) {
	tokens = make([]float32, len(d.base))
	for layer := range benchLayers {
		sum := 0.0
		row := tokens[layer*benchExperts : (layer+1)*benchExperts]
		for e := range row {
			w := d.at(d, minute, layer*benchExperts+e) * math.Exp(sampleNoise*r.NormFloat64())
			row[e] = float32(w)
			sum += w
		}
		for e := range row {
			row[e] *= float32(float64(ranks*rankTokens) / sum)
		}
	}
	return tokens
}
