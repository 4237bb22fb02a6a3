package reporter

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/state/tallier"
)

// countsByWindow holds the counts of each window, by the index of the window.
type countsByWindow [windowCount]tallier.Counts

// serviceCounts sums the counts of one service over all tallies.
type serviceCounts struct {
	total    countsByWindow
	accounts map[string]*countsByWindow
	zones    map[string]*countsByWindow
	hours    map[time.Time]*tallier.Counts
	recent   map[time.Time]*tallier.Counts
}

func newServiceCounts() *serviceCounts {
	return &serviceCounts{
		accounts: make(map[string]*countsByWindow),
		zones:    make(map[string]*countsByWindow),
		hours:    make(map[time.Time]*tallier.Counts),
		recent:   make(map[time.Time]*tallier.Counts),
	}
}

// Join returns the report of the services that the configuration declares. Each
// daemon must have at most one tally; see [Merge].
func Join(now time.Time, configuration *banyanplank.Configuration, tallies []tallier.Tally) (report Report) {
	report = Report{At: now.UTC(), Revision: configuration.Revision, Daemons: len(tallies)}
	byService := make(map[banyanplank.ServiceName]*serviceCounts)
	for _, s := range configuration.Services {
		byService[s.Name] = newServiceCounts()
	}
	for _, tally := range tallies {
		for _, bucket := range tally.Buckets {
			addBucket(now, byService, string(tally.Zone), bucket)
		}
	}
	for _, s := range configuration.Services {
		report.Services = append(report.Services, Service{Name: s.Name, Objectives: byService[s.Name].objectives(s.Objective)})
	}
	slices.SortFunc(report.Services, func(a, b Service) int { return cmp.Compare(a.Name, b.Name) })
	return report
}

// addBucket adds the cells of a bucket to the counts of their services. Cells of
// undeclared services are ignored.
func addBucket(now time.Time, byService map[banyanplank.ServiceName]*serviceCounts, zone string, bucket tallier.Bucket) {
	for _, c := range bucket.Cells {
		counts, ok := byService[c.Service]
		if ok {
			counts.add(now, zone, bucket, c)
		}
	}
}

// add adds a cell to all windows that contain its bucket.
func (s *serviceCounts) add(now time.Time, zone string, bucket tallier.Bucket, cell tallier.Cell) {
	for i, w := range windows {
		if !w.contains(now, bucket) {
			continue
		}
		s.total[i].Add(cell.Counts)
		getOrCreate(s.accounts, string(cell.Account))[i].Add(cell.Counts)
		getOrCreate(s.zones, zone)[i].Add(cell.Counts)
	}
	if windows[window3d].contains(now, bucket) {
		getOrCreate(s.hours, bucket.Start).Add(cell.Counts)
	}
	if windows[window6h].contains(now, bucket) {
		getOrCreate(s.recent, bucket.Start).Add(cell.Counts)
	}
}

// getOrCreate returns the value at key. It inserts a zero value if there is none.
func getOrCreate[K comparable, V any](values map[K]*V, key K) (value *V) {
	value, ok := values[key]
	if !ok {
		value = new(V)
		values[key] = value
	}
	return value
}

// objectives returns the declared objectives with their burn rates.
func (s *serviceCounts) objectives(declared banyanplank.Objective) (objectives []Objective) {
	if declared.Availability > 0 {
		o := Objective{Aspect: Availability, Target: declared.Availability}
		objectives = append(objectives, s.measure(o))
	}
	if declared.LatencyShare > 0 {
		o := Objective{Aspect: Latency, Target: declared.LatencyShare, First: declared.MaxFirstToken, Between: declared.MaxTokenInterval}
		objectives = append(objectives, s.measure(o))
	}
	return objectives
}

// measure returns the objective with its burn rates and alerts computed from the
// counts.
func (s *serviceCounts) measure(o Objective) (measured Objective) {
	o.Windows = o.windowBurns(&s.total)
	o.Left = 1 - o.Windows[window3d].Burn
	for _, rule := range alertRules {
		longWindow, shortWindow := o.Windows[rule.long], o.Windows[rule.short]
		firing := longWindow.Burn > rule.rate && shortWindow.Burn > rule.rate
		o.Pages = append(o.Pages, Page{Rate: rule.rate, Long: longWindow.Name, Short: shortWindow.Name, Firing: firing})
	}
	o.Accounts = o.sortedShares(s.accounts)
	o.Accounts = o.Accounts[:min(len(o.Accounts), maxShares)]
	o.Zones = o.sortedShares(s.zones)
	o.Hours = o.sortedPoints(s.hours)
	o.Recent = o.sortedPoints(s.recent)
	return o
}

// windowBurns returns the burn rate of each window.
func (o Objective) windowBurns(counts *countsByWindow) (list []Window) {
	for i, w := range windows {
		calls, bad := o.count(counts[i])
		list = append(list, Window{Name: w.name, Calls: calls, Bad: bad, Burn: o.burnRate(calls, bad)})
	}
	return list
}

// count returns the number of calls to which the objective applies and how many
// of them are bad. Latency excludes failed calls.
func (o Objective) count(counts tallier.Counts) (calls, bad uint64) {
	if o.Aspect == Latency {
		return counts.Calls - counts.Failed, counts.Slow
	}
	return counts.Calls, counts.Failed
}

// burnRate returns the share of bad calls divided by the share that the error
// budget allows. It is zero without calls.
func (o Objective) burnRate(calls, bad uint64) (rate float64) {
	if calls == 0 {
		return 0
	}
	return float64(bad) / float64(calls) / (1 - o.Target)
}

// sortedShares returns the shares of parts, sorted by the bad calls in three days,
// most first.
func (o Objective) sortedShares(parts map[string]*countsByWindow) (list []Share) {
	for name, counts := range parts {
		list = append(list, Share{Name: name, Windows: o.windowBurns(counts)})
	}
	slices.SortFunc(list, func(a, b Share) int {
		return cmp.Or(
			cmp.Compare(b.Windows[window3d].Bad, a.Windows[window3d].Bad),
			cmp.Compare(b.Windows[window3d].Calls, a.Windows[window3d].Calls),
			cmp.Compare(a.Name, b.Name),
		)
	})
	return list
}

// sortedPoints returns the burn rate of each bucket, sorted by time.
func (o Objective) sortedPoints(buckets map[time.Time]*tallier.Counts) (list []Point) {
	for _, start := range slices.SortedFunc(maps.Keys(buckets), time.Time.Compare) {
		calls, bad := o.count(*buckets[start])
		list = append(list, Point{Start: start, Calls: calls, Bad: bad, Burn: o.burnRate(calls, bad)})
	}
	return list
}
