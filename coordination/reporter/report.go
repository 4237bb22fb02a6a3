// Package reporter joins the tallies of all daemons into a report of the rate at
// which each service burns its error budget.
//
//	report := reporter.Join(time.Now(), configuration, tallies)
//	err := report.WriteHTML(file)
//
// An objective of 0.999 leaves an error budget of one bad call in a thousand. A
// burn rate of 1 spends exactly that budget; a burn rate of 14.4 spends a month's
// budget in two days.
package reporter

import (
	"time"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/state/tallier"
)

// Report holds the burn rates of all services of a fleet.
type Report struct {
	At       time.Time            `json:"at"`
	Revision banyanplank.Revision `json:"revision"`
	// Daemons is the number of daemons whose tallies are joined.
	Daemons int `json:"daemons"`
	// Stored is the number of those that did not answer and are included with
	// their latest stored tally.
	Stored   int       `json:"stored"`
	Services []Service `json:"services"`
	// Problems lists the reasons for which data is missing from the report.
	Problems []string `json:"problems"`
}

// Service holds the objectives of one service.
type Service struct {
	Name       banyanplank.ServiceName `json:"name"`
	Objectives []Objective             `json:"objectives"`
}

// Aspect is the kind of service level that an objective is about.
type Aspect string

// Aspects of a service level.
const (
	// Availability counts failed calls as bad.
	Availability Aspect = "availability"
	// Latency counts slow calls as bad, among those that succeeded.
	Latency Aspect = "latency"
)

// Objective is a service-level objective with its burn rates.
type Objective struct {
	Aspect Aspect `json:"aspect"`
	// Target is the share of calls that must be good, from 0 to 1.
	Target float64 `json:"target"`
	// First is the time limit to the first token of a good call, Between that
	// between two tokens. Zero means no limit.
	First   banyanplank.Duration `json:"first,omitempty"`
	Between banyanplank.Duration `json:"between,omitempty"`
	// Left is the remaining share of the error budget of three days. It is
	// negative if more than the budget is spent.
	Left     float64  `json:"left"`
	Windows  []Window `json:"windows"`
	Pages    []Page   `json:"pages"`
	Accounts []Share  `json:"accounts"`
	Zones    []Share  `json:"zones"`
	// Hours holds the burn rates by hour over three days, Recent those by five
	// minutes over six hours.
	Hours  []Point `json:"hours"`
	Recent []Point `json:"recent"`
}

// Window holds the calls and the burn rate of a time window that ends with the
// report.
type Window struct {
	Name  string  `json:"window"`
	Calls uint64  `json:"calls"`
	Bad   uint64  `json:"bad"`
	Burn  float64 `json:"burn"`
}

// Page is the state of an alert rule, which fires if the burn rates of both its
// long and its short window exceed Rate.
type Page struct {
	Rate   float64 `json:"rate"`
	Long   string  `json:"long"`
	Short  string  `json:"short"`
	Firing bool    `json:"firing"`
}

// Share holds the windows of one client account or availability zone. The account
// with an empty name combines all accounts that are not counted by name.
type Share struct {
	Name    string   `json:"name"`
	Windows []Window `json:"windows"`
}

// Point holds the calls and the burn rate of one bucket.
type Point struct {
	Start time.Time `json:"start"`
	Calls uint64    `json:"calls"`
	Bad   uint64    `json:"bad"`
	Burn  float64   `json:"burn"`
}

// window is a time window and the resolution of the buckets that it sums.
type window struct {
	name       string
	span       time.Duration
	resolution time.Duration
}

// Indexes of the windows of a report, from short to long.
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

// contains reports whether more than half of the bucket lies in the window that
// ends now. Buckets of other resolutions are not contained.
func (w window) contains(now time.Time, bucket tallier.Bucket) (contained bool) {
	midpoint := bucket.Start.Add(bucket.Span / 2)
	return bucket.Span == w.resolution && midpoint.After(now.Add(-w.span)) && !bucket.Start.After(now)
}

// alertRule is a multiwindow burn-rate alert. Its windows are indexes.
type alertRule struct {
	rate        float64
	long, short int
}

// alertRules are the multiwindow burn-rate alerts of the SRE literature: 14.4
// spends 2% of a month's budget in an hour, 6 spends 5% in six hours.
var alertRules = []alertRule{
	{rate: 14.4, long: window1h, short: window5m},
	{rate: 6, long: window6h, short: window30m},
}

// maxShares is the largest number of accounts that an objective lists.
const maxShares = 20
