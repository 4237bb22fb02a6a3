package balancer

import "time"

// repeatShare is the part of the allowed repeats that the entries use, since
// none knows exactly what the others do.
const repeatShare = 0.7

// budget bounds the repeats of an entry by a share of its own requests and a
// part of the slack that all entries have together.
type budget struct {
	share   float64
	slack   float64
	span    time.Duration
	begun   time.Time
	fresh0  float64
	fresh1  float64
	repeat0 float64
	repeat1 float64
}

// turn moves on to the current span. Two spans back is forgotten.
func (u *budget) turn(now time.Time) {
	passed := now.Sub(u.begun)
	if passed < u.span {
		return
	}
	u.fresh1, u.repeat1 = u.fresh0, u.repeat0
	if passed >= 2*u.span {
		u.fresh1, u.repeat1 = 0, 0
	}
	u.fresh0, u.repeat0 = 0, 0
	u.begun = now
}

// fresh counts a request that is not a repeat.
func (u *budget) fresh(now time.Time) {
	u.turn(now)
	u.fresh0++
}

// take counts a repeat if the budget allows it. The repeats of the last span
// count as far as that span still overlaps the window that ends now.
func (u *budget) take(now time.Time) (ok bool) {
	u.turn(now)
	overlap := 1 - now.Sub(u.begun).Seconds()/u.span.Seconds()
	requests := u.fresh0 + u.fresh1*overlap
	repeats := u.repeat0 + u.repeat1*overlap
	if repeats+1 > repeatShare*(u.share*requests+u.slack) {
		return false
	}
	u.repeat0++
	return true
}
