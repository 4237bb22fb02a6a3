// Package reporter joins the tallies of all daemons into a report on how fast
// each service burns its budget of bad calls.
//
//	report := reporter.Join(time.Now(), configuration, tallies)
//	err := report.WriteHTML(file)
//
// An objective of 0.999 leaves a budget of one bad call in a thousand. A burn
// of 1 spends just that budget; a burn of 14.4 spends a month's budget in two
// days.
package reporter

import (
	"time"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/state/tallier"
)

// Report is the service-level burn of a fleet.
type Report struct {
	At       time.Time            `json:"at"`
	Revision banyanplank.Revision `json:"revision"`
	// Daemons counts the daemons whose tallies are joined.
	Daemons int `json:"daemons"`
	// Stored counts those that did not answer and are known from what they
	// stored last.
	Stored   int       `json:"stored"`
	Services []Service `json:"services"`
	// Problems tells what is missing from the report.
	Problems []string `json:"problems"`
}

// Service is the burn of one service.
type Service struct {
	Name       banyanplank.ServiceName `json:"name"`
	Objectives []Objective             `json:"objectives"`
}

// Aspect tells what an objective is about.
type Aspect string

// The aspects of a service level.
const (
	// Availability counts calls that failed.
	Availability Aspect = "availability"
	// Latency counts calls that succeeded, but too slowly.
	Latency Aspect = "latency"
)

// Objective is the burn of one objective.
type Objective struct {
	Aspect Aspect `json:"aspect"`
	// Target is the share of calls that must be good.
	Target float64 `json:"target"`
	// First and Between bound the times of a good call.
	First   banyanplank.Duration `json:"first,omitempty"`
	Between banyanplank.Duration `json:"between,omitempty"`
	// Left is the share of the budget of three days that is left. It is
	// negative when more than the budget is spent.
	Left     float64  `json:"left"`
	Windows  []Window `json:"windows"`
	Pages    []Page   `json:"pages"`
	Accounts []Share  `json:"accounts"`
	Zones    []Share  `json:"zones"`
	// Hours and Recent are the burn by hour, and by five minutes.
	Hours  []Point `json:"hours"`
	Recent []Point `json:"recent"`
}

// Window is the burn over one span of time up to the report.
type Window struct {
	Name  string  `json:"window"`
	Calls uint64  `json:"calls"`
	Bad   uint64  `json:"bad"`
	Burn  float64 `json:"burn"`
}

// Page is a pair of windows that pages when both burn faster than Rate.
type Page struct {
	Rate   float64 `json:"rate"`
	Long   string  `json:"long"`
	Short  string  `json:"short"`
	Firing bool    `json:"firing"`
}

// Share is the part of one client account or availability zone. The account
// with an empty name stands for all that are not counted by name.
type Share struct {
	Name    string   `json:"name"`
	Windows []Window `json:"windows"`
}

// Point is the burn of one bucket.
type Point struct {
	Start time.Time `json:"start"`
	Calls uint64    `json:"calls"`
	Bad   uint64    `json:"bad"`
	Burn  float64   `json:"burn"`
}

// window is a span of time and the resolution that it is summed up from.
type window struct {
	name       string
	span       time.Duration
	resolution time.Duration
}

// The windows of a report, from short to long.
const (
	window5m = iota
	window30m
	window1h
	window6h
	window3d
	windowCount
)

var windows = [windowCount]window{
	window5m:  {"5m", 5 * time.Minute, tallier.Minute},
	window30m: {"30m", 30 * time.Minute, tallier.FiveMinutes},
	window1h:  {"1h", time.Hour, tallier.FiveMinutes},
	window6h:  {"6h", 6 * time.Hour, tallier.FiveMinutes},
	window3d:  {"3d", 72 * time.Hour, tallier.Hour},
}

// holds reports whether most of a bucket lies in the window that ends now.
func (w window) holds(now time.Time, bucket tallier.Bucket) (in bool) {
	middle := bucket.Start.Add(bucket.Span / 2)
	return bucket.Span == w.resolution && middle.After(now.Add(-w.span)) && !bucket.Start.After(now)
}

// pager is a rule that pages.
type pager struct {
	rate        float64
	long, short int
}

// pagers are the multiwindow rules of the SRE literature: 14.4 spends 2% of a
// month's budget in an hour, 6 spends 5% in six hours.
var pagers = []pager{
	{rate: 14.4, long: window1h, short: window5m},
	{rate: 6, long: window6h, short: window30m},
}

// maxShares bounds the accounts that an objective lists.
const maxShares = 20
