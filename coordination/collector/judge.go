package collector

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/state/counter"
)

// Times by which the counts of silent entries are judged.
const (
	// goneAge is how long an entry must be silent and unlisted to count as gone. It is the time
	// after which silent entries are removed from the platform's list.
	goneAge = 30 * time.Second
	// memoryAge is how long an entry that has neither stopped nor died visibly counts towards
	// the majority that a report needs. An entry that is cut off from all others sees them leave
	// the platform's list after goneAge.
	memoryAge = time.Hour
	// SendInterval is the time between two messages of an entry.
	SendInterval = time.Second
	// deathSlack is the longest time between the last word of an entry and its death: a send
	// interval and the time limit of a message that did not arrive.
	deathSlack = SendInterval + sendTimeout
	// promptEnd is the longest time between the last word of an entry that dies and the first
	// refused connection: receivers look for silent entries once per interval. An entry found
	// later may have been cut off and counted on before it died.
	promptEnd = deathSlack + SendInterval + 250*time.Millisecond
)

// Member is another entry or this one, as the collecting entry sees it.
type Member struct {
	ID banyanplank.DaemonID
	// IsAlive reports whether its heartbeats arrive.
	IsAlive bool
	// isUnlisted is set for an entry that was a member lately.
	isUnlisted bool
}

// Coverage describes how much of a window is known.
type Coverage struct {
	// Entries is the number of entries whose counts are used.
	Entries int
	// Incomplete lists the entries that may have counted requests that are not known.
	Incomplete []banyanplank.DaemonID
	// Oldest is the longest time for which an entry's counts are missing before the end of
	// the window.
	Oldest time.Duration
	// Doubt bounds the probability that the count of any account is off by more than allowed.
	Doubt float64
}

// judgement collects what may be missing from a window.
type judgement struct {
	start, end int64
	window     time.Duration
	number     int64
	words      []Word
	since      int64
	ended      map[banyanplank.DaemonID]bool
	totals     Counts
	// heard is the number of entries that have counts of the window or none to count.
	heard int
	// missing is the expected number of missing requests of each account.
	missing  map[banyanplank.AccountID]float64
	coverage Coverage
}

// judge sums the counts of a window and estimates what may be missing. Ended lists the entries
// whose processes are known to have ended.
func judge(export *Export, window int64, length time.Duration, now time.Time, members []Member, ended map[banyanplank.DaemonID]bool, off float64) (totals Counts, coverage Coverage) {
	j := &judgement{
		start: counter.WindowStart(window, length).UnixNano(), end: counter.WindowStart(window+1, length).UnixNano(),
		window: length, number: window, words: export.Words, since: export.Since, ended: ended,
		totals: make(Counts), missing: make(map[banyanplank.AccountID]float64),
	}
	byEntry := make(map[banyanplank.DaemonID][]*Word)
	for i := range j.words {
		word := &j.words[i]
		byEntry[word.From] = append(byEntry[word.From], word)
		for account, count := range word.Windows[window] {
			j.totals[account] += count
		}
	}
	j.heard = max(len(byEntry), 1)
	// The number of known entries that may count, and of those whose counts are complete.
	known, complete := 0, 0
	listed := make(map[banyanplank.DaemonID]bool, len(members))
	for _, m := range members {
		listed[m.ID] = !m.isUnlisted
		if len(byEntry[m.ID]) > 0 {
			continue
		}
		if !ended[m.ID] {
			known++
		}
		if !m.isUnlisted && (!ended[m.ID] || j.since > j.start) {
			j.addAverage(m.ID, j.start, j.end)
		}
	}
	for id, words := range byEntry {
		// The numbers of incarnations are times of day, which may jump.
		slices.SortStableFunc(words, func(a, b *Word) int { return cmp.Compare(a.Started, b.Started) })
		last := words[len(words)-1]
		if last.AsOf >= j.end {
			known, complete = known+1, complete+1
		} else if !last.Final && last.EndedBy == 0 && now.UnixNano()-max(last.AsOf, last.Started) < int64(memoryAge) {
			known++
		}
		j.judgeEntry(id, words, now, listed[id])
	}
	j.coverage.Entries = len(byEntry)
	j.coverage.Doubt = j.doubt(off)
	// An entry that is cut off from most others must not report its own counts alone.
	if 2*complete <= known {
		j.coverage.Doubt = 1
	}
	delete(j.totals, counter.Lost)
	return j.totals, j.coverage
}

// judgeEntry adds what may be missing from an entry. Its words are in the order in
// which its incarnations started.
func (j *judgement) judgeEntry(id banyanplank.DaemonID, words []*Word, now time.Time, listed bool) {
	// Without a receiver since the start of the window, the words of an earlier incarnation
	// may be lost.
	if first := words[0]; first.Started > j.start && j.since > j.start {
		j.addAverage(id, j.start, min(first.Started, j.end))
	}
	for i, word := range words {
		known := max(word.AsOf, word.Started)
		from, to := max(j.start, known), j.end
		endedBy := int64(math.MaxInt64)
		if word.EndedBy > 0 {
			endedBy = word.EndedBy
		}
		if i+1 < len(words) {
			endedBy = min(endedBy, words[i+1].Started)
		}
		to = min(to, endedBy)
		if endedBy-known <= int64(promptEnd) {
			to = min(to, known+int64(deathSlack))
		}
		isGone := !listed && now.UnixNano()-known > int64(goneAge)
		if word.Final || isGone || to <= from {
			continue
		}
		j.addMissing(word, from, to)
	}
}

// note records that an entry's counts are missing for a part of the window.
func (j *judgement) note(id banyanplank.DaemonID, from, to int64) {
	j.coverage.Incomplete = append(j.coverage.Incomplete, id)
	j.coverage.Oldest = max(j.coverage.Oldest, time.Duration(to-from))
}

// addAverage adds the counts of an average entry for a time.
func (j *judgement) addAverage(id banyanplank.DaemonID, from, to int64) {
	j.note(id, from, to)
	share := float64(to-from) / float64(j.window) / float64(j.heard)
	for account, count := range j.totals {
		j.missing[account] += float64(count) * share
	}
}

// addMissing adds the counts of an entry for a time, at the rates of its latest counts.
func (j *judgement) addMissing(word *Word, from, to int64) {
	first := max(word.Started, j.start-int64(j.window))
	covered := min(max(word.AsOf, word.Started), j.end) - first
	if covered < int64(j.window)/2 {
		j.addAverage(word.From, from, to)
		return
	}
	j.note(word.From, from, to)
	share := float64(to-from) / float64(covered)
	for _, window := range []int64{j.number - 1, j.number} {
		for account, count := range word.Windows[window] {
			j.missing[account] += float64(count) * share
		}
	}
}

// doubt returns a bound on the probability that the count of any account is off by more than the
// allowed fraction. Missing requests are taken as Poisson distributed.
func (j *judgement) doubt(off float64) (doubt float64) {
	if j.totals[counter.Lost] > 0 {
		return 1
	}
	if len(j.coverage.Incomplete) > 0 && len(j.totals) == 0 {
		return 1
	}
	for account, mean := range j.missing {
		// The reported count n of n+k requests is off by k/(n+k).
		allowed := math.Floor(off * float64(j.totals[account]) / (1 - off))
		doubt += poissonTail(mean, allowed)
		if doubt >= 1 {
			return 1
		}
	}
	return doubt
}

// poissonTail returns the probability that a Poisson variable exceeds a bound.
func poissonTail(mean, bound float64) (probability float64) {
	term := math.Exp(-mean)
	if term == 0 { // the mean is over 700
		if mean > bound {
			return 1
		}
		return 0
	}
	below := 0.0
	for k := 0.0; k <= bound && k <= mean+40*math.Sqrt(mean)+40; k++ {
		below += term
		term *= mean / (k + 1)
	}
	return max(0, 1-below)
}
