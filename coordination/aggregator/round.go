package aggregator

import (
	"math"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanplank/banyanplank"
)

// Parameters of the demand estimate.
const (
	// minSmoothing and maxSmoothing bound the smoothing factor, which is the
	// weight of a new observation.
	minSmoothing = 0.1
	maxSmoothing = 0.6
	// errorSmoothing is the weight of a new error in the mean errors.
	errorSmoothing = 0.2
	// minJumpDeviations is the least distance of an outlier from the mean, in
	// standard deviations.
	minJumpDeviations = 5
	// minRelativeJump is the least distance of an outlier from the mean,
	// relative to the mean.
	minRelativeJump = 0.25
	// commonJumpShare is the share of the experts of a layer that must be
	// outliers in one round for the change to apply at once. The jump of a
	// single expert needs confirmation by a second observation.
	commonJumpShare = 0.04
	// deviationPerMeanAbsError converts a mean absolute error to a standard
	// deviation.
	deviationPerMeanAbsError = 1.25
	// minRelativeDeviation is the lower limit of the standard deviation,
	// relative to the mean.
	minRelativeDeviation = 0.02
	// initialRelativeDeviation is the standard deviation assumed after the first
	// observation or a jump, relative to the mean.
	initialRelativeDeviation = 0.1
)

// Trend describes how the demand for an expert changes.
type Trend uint8

// Values of [Trend].
const (
	// Steady demand varies only within the noise.
	Steady Trend = iota
	// Drifting demand keeps changing in one direction.
	Drifting
	// Sudden demand has just jumped to another level.
	Sudden
)

// estimate is the estimated demand for one expert of one layer, by adaptive
// exponential smoothing. The smoothing factor is the squared tracking signal of
// Trigg and Leach, within bounds. The tracking signal is the absolute value of
// the mean error divided by the mean absolute error. It is low for noise and
// rises with drift.
type estimate struct {
	known      bool
	observedAt time.Time
	mean       float32
	// meanError and meanAbsError are the smoothed error and absolute error.
	meanError    float32
	meanAbsError float32
	// outlierCount is the number of consecutive outliers.
	outlierCount uint8
	trend        Trend
}

// UpdateDemand updates the estimates from the latest reports and returns the demand for
// every expert. Call it once per reporting interval. It returns an error if no
// estimate exists for some expert.
func (a *Aggregator) UpdateDemand(now time.Time) (popularity banyanplank.Popularity, err error) {
	shape := a.maps[0].Shape
	popularity = banyanplank.Popularity{Shape: shape, Tokens: make([]float32, shape.Layers*shape.Experts)}
	sums := newLayerSums(shape, len(a.maps))
	stepRate := a.medianStepRate(now)
	if a.referenceStepRate == 0 {
		a.referenceStepRate = stepRate
	}
	scale := float32(1)
	if stepRate > 0 {
		scale = float32(stepRate / a.referenceStepRate)
	}
	for layer := range shape.Layers {
		a.sumLayer(now, layer, sums)
		popularity.HasJump = a.updateLayer(now, layer, sums) || popularity.HasJump
	}
	for i := range a.estimates {
		if !a.estimates[i].known {
			return banyanplank.Popularity{}, errors.Newf("no rank has reported expert %d of layer %d of group %q",
				i%shape.Experts, i/shape.Experts, a.maps[0].Group)
		}
		popularity.Tokens[i] = scale * a.estimates[i].mean
	}
	return popularity, nil
}

// Trend returns the trend of the demand for an expert of a layer.
func (a *Aggregator) Trend(layer, expert int) (trend Trend) {
	return a.estimates[layer*a.maps[0].Shape.Experts+expert].trend
}

// layerSums holds the sums over the reports for the experts of one layer.
type layerSums struct {
	// demandSum is the sum of the demand as estimated from each fresh replica,
	// freshReplicas the number of these replicas.
	demandSum     []float32
	freshReplicas []uint16
	// replicas holds the number of replicas of each expert, by map.
	replicas [][]uint16
}

// newLayerSums returns empty sums for layers of the shape, with replica counts
// for the given number of maps.
func newLayerSums(shape banyanplank.MapShape, maps int) *layerSums {
	s := &layerSums{
		demandSum:     make([]float32, shape.Experts),
		freshReplicas: make([]uint16, shape.Experts),
	}
	for range maps {
		s.replicas = append(s.replicas, make([]uint16, shape.Experts))
	}
	return s
}

// sumLayer sums the fresh reports of one layer. The demand for an expert is
// spread evenly over its replicas under the map that the tokens were counted
// under. Each replica therefore gives an estimate of the whole demand, and no
// report of the other replicas is needed.
func (a *Aggregator) sumLayer(now time.Time, layer int, s *layerSums) {
	clear(s.demandSum)
	clear(s.freshReplicas)
	for i, m := range a.maps {
		countReplicas(m.Layer(layer), s.replicas[i])
	}
	slots := a.maps[0].Shape.Slots
	for rank := range a.ranks {
		r := &a.ranks[rank]
		if !a.isFresh(now, r) {
			continue
		}
		mapIndex := a.indexOf(r.mapID)
		scale := float32(1)
		if r.stepRate > 0 {
			scale = float32(a.referenceStepRate / r.stepRate)
		}
		experts := a.maps[mapIndex].Layer(layer)[rank*slots : (rank+1)*slots]
		for slot, e := range experts {
			if e != banyanplank.NoExpert {
				s.freshReplicas[e]++
				s.demandSum[e] += scale * r.rates[layer*slots+slot] * float32(s.replicas[mapIndex][e])
			}
		}
	}
}

// isFresh reports whether the token counts of r belong to a known map and are
// recent enough to be used.
func (a *Aggregator) isFresh(now time.Time, r *rankState) bool {
	return a.indexOf(r.mapID) >= 0 && r.rates != nil && now.Sub(r.countedAt) <= a.maxReportAge
}

// medianStepRate returns the median steps per second of the ranks, or zero if no
// rank reports steps. All ranks run the same steps, so their rates differ only
// by when each rank read its counters.
func (a *Aggregator) medianStepRate(now time.Time) (stepRate float64) {
	var stepRates []float64
	for i := range a.ranks {
		if r := &a.ranks[i]; r.stepRate > 0 && a.isFresh(now, r) {
			stepRates = append(stepRates, r.stepRate)
		}
	}
	if len(stepRates) == 0 {
		return 0
	}
	slices.Sort(stepRates)
	return stepRates[len(stepRates)/2]
}

// countReplicas sets the number of replicas of each expert in a layer.
func countReplicas(experts []uint16, replicas []uint16) {
	clear(replicas)
	for _, e := range experts {
		if e != banyanplank.NoExpert {
			replicas[e]++
		}
	}
}

// updateLayer updates the estimates of one layer from its sums. It reports
// whether the demand for some expert has jumped.
func (a *Aggregator) updateLayer(now time.Time, layer int, s *layerSums) (jumped bool) {
	experts := a.maps[0].Shape.Experts
	estimates := a.estimates[layer*experts : (layer+1)*experts]
	outliers := 0
	for e := range estimates {
		if s.freshReplicas[e] > 0 && estimates[e].isOutlier(s.meanDemand(e)) {
			outliers++
		}
	}
	isCommonJump := float64(outliers) >= max(2, commonJumpShare*float64(experts))
	for e := range estimates {
		if s.freshReplicas[e] == 0 {
			continue
		}
		estimates[e].update(now, s.meanDemand(e), isCommonJump)
		jumped = jumped || estimates[e].trend == Sudden
	}
	return jumped
}

// meanDemand returns the demand for an expert, averaged over its fresh replicas.
func (s *layerSums) meanDemand(expert int) float32 {
	return s.demandSum[expert] / float32(s.freshReplicas[expert])
}

// deviation returns the standard deviation of the noise, in tokens per second.
func (e *estimate) deviation() float32 {
	return max(deviationPerMeanAbsError*e.meanAbsError, minRelativeDeviation*e.mean, 1)
}

// isOutlier reports whether the observation is too far from the mean to be
// noise.
func (e *estimate) isOutlier(observed float32) bool {
	if !e.known {
		return false
	}
	difference := abs(observed - e.mean)
	return difference > minJumpDeviations*e.deviation() && difference > minRelativeJump*e.mean
}

// update applies one observation. An outlier is ignored unless many experts jump
// in the same round or the previous observation was an outlier, too. Then the
// estimate restarts from it.
func (e *estimate) update(now time.Time, observed float32, isCommonJump bool) {
	e.observedAt = now
	if !e.known {
		e.reset(observed, Steady)
		return
	}
	if !e.isOutlier(observed) {
		e.outlierCount = 0
		e.smooth(observed)
		return
	}
	e.outlierCount++
	if isCommonJump || e.outlierCount > 1 {
		e.reset(observed, Sudden)
	}
}

// reset restarts the estimate from one observation.
func (e *estimate) reset(observed float32, trend Trend) {
	*e = estimate{
		known:        true,
		observedAt:   e.observedAt,
		mean:         observed,
		meanAbsError: initialRelativeDeviation * observed / deviationPerMeanAbsError,
		trend:        trend,
	}
}

// smooth moves the estimate toward the observation.
func (e *estimate) smooth(observed float32) {
	difference := observed - e.mean
	e.meanError += errorSmoothing * (difference - e.meanError)
	e.meanAbsError += errorSmoothing * (abs(difference) - e.meanAbsError)
	trackingSignal := float32(0)
	if e.meanAbsError > 0 {
		trackingSignal = abs(e.meanError) / e.meanAbsError
	}
	e.trend = Steady
	if trackingSignal > maxSmoothing {
		e.trend = Drifting
	}
	e.mean += min(max(trackingSignal*trackingSignal, minSmoothing), maxSmoothing) * difference
}

// abs returns the absolute value of x.
func abs(x float32) float32 {
	return float32(math.Abs(float64(x)))
}
