package sharer

import "math"

// sizeClasses is the number of classes of cost that are admitted independently.
const sizeClasses = 4

// diffusion admits a fraction of calls by error diffusion: the remainder of each
// decision carries over to the next one, so that of n calls the number admitted
// differs from the fraction of n by less than one. Classes of cost have separate
// remainders. Otherwise a regular sequence of small and large calls at a fraction of a
// half would admit only the small or only the large ones.
type diffusion [sizeClasses]float64

// admit decides on a call of a class.
func (d *diffusion) admit(fraction float64, class int) bool {
	d[class] += fraction
	if d[class] < 1 {
		return false
	}
	d[class]--
	return true
}

// nextDiffusion returns a diffusion whose remainders are the next of an evenly spread
// sequence. If all began at zero, accounts that call once in a while would be refused
// at any fraction below 1.
func (v *service) nextDiffusion() (d diffusion) {
	const goldenRatio = 0.6180339887498949
	for i := range d {
		_, d[i] = math.Modf(float64(v.recorded)*goldenRatio + float64(i)/sizeClasses)
	}
	v.recorded++
	return d
}

// sizeClass returns the class of a cost relative to the mean cost of the service.
func sizeClass(cost, mean float64) (class int) {
	switch {
	case cost < mean/2:
		return 0
	case cost < mean*2:
		return 1
	case cost < mean*8:
		return 2
	default:
		return 3
	}
}
