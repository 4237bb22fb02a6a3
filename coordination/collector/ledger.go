package collector

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/state/counter"
)

// Limits on the memory of a [Ledger].
const (
	// maxOrigins bounds the incarnations of entries, and maxCells the counts of all of them.
	// A count takes about 50 bytes.
	maxOrigins = 2048
	maxCells   = 2_000_000
	// maxWindowsAhead is how far ahead of the own clock a window may be.
	maxWindowsAhead = 2
	// maxClaimAge is how many windows before the current one the time up to which a message is
	// complete may be. It is at most some seconds old, and the windows before it that can still
	// be reported must not be older than those that are kept.
	maxClaimAge = 1
)

// errTooManyOrigins means that no further incarnation of an entry can be recorded.
var errTooManyOrigins = errors.New("too many incarnations of entries")

// origin identifies an incarnation of an entry.
type origin struct {
	entry       banyanplank.DaemonID
	incarnation banyanplank.Incarnation
}

// Ledger holds the words of all entries about a few recent windows. Counts are merged by their
// maximum, so repeated and reordered messages change nothing. It is safe for concurrent use.
type Ledger struct {
	window time.Duration
	// retain is the number of closed windows that are kept.
	retain int64

	mutex sync.Mutex
	since int64
	words map[origin]*Word
	cells int
	// names holds one copy of each account name.
	names map[banyanplank.AccountID]banyanplank.AccountID
}

// NewLedger returns a ledger for windows of a length that retains a number of closed windows. It
// expects no messages until [Ledger.SetSince].
func NewLedger(window time.Duration, retain int) *Ledger {
	return &Ledger{
		window: window, retain: int64(retain), since: math.MaxInt64,
		words: make(map[origin]*Word), names: make(map[banyanplank.AccountID]banyanplank.AccountID),
	}
}

// SetSince sets the true time since which the entries send their counts to this ledger.
func (l *Ledger) SetSince(since time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.since = since.UnixNano()
}

// ClearSince records that the entries send their counts elsewhere.
func (l *Ledger) ClearSince() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.since = math.MaxInt64
}

// Receive merges a message at a true time and returns the revision through which the ledger has
// the counts of its sender.
func (l *Ledger) Receive(now time.Time, message *Message) (through uint64, err error) {
	defer func() { err = errors.Wrap(err, "receive usage") }()
	if err := message.check(); err != nil {
		return 0, err
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.prune(now)
	word, err := l.word(&message.Word)
	if err != nil {
		return 0, err
	}
	current := counter.WindowAt(now, l.window)
	l.mergeCounts(word, message.Windows, current-l.retain, current+maxWindowsAhead)
	// Without the counts up to After, the message doesn't make the word complete. The same holds if
	// its windows may have been dropped because the clocks differ. It is sent again later.
	completeIn := counter.WindowAt(time.Unix(0, message.AsOf), l.window)
	isOtherTime := message.AsOf > 0 && (completeIn < current-maxClaimAge || completeIn >= current+maxWindowsAhead)
	if message.After <= word.Through && !isOtherTime {
		claimed := message.Word
		// A sender whose clock is ahead can't know the counts of a later time.
		claimed.AsOf, claimed.EndedBy = min(claimed.AsOf, now.UnixNano()), 0
		word.extend(&claimed)
	}
	return word.Through, nil
}

// extend takes over how far a later word of the same origin is complete.
func (w *Word) extend(later *Word) {
	if later.AsOf >= w.AsOf && later.Started > 0 {
		w.Started = later.Started
	}
	w.Through = max(w.Through, later.Through)
	w.AsOf = max(w.AsOf, later.AsOf)
	w.Final = w.Final || later.Final
	if w.EndedBy == 0 || later.EndedBy > 0 && later.EndedBy < w.EndedBy {
		w.EndedBy = later.EndedBy
	}
	// A process that still counts has not ended.
	if w.EndedBy < w.AsOf {
		w.EndedBy = 0
	}
}

// word returns the word of the origin of w and creates it if needed.
func (l *Ledger) word(w *Word) (word *Word, err error) {
	from := origin{w.From, w.Incarnation}
	if word = l.words[from]; word != nil {
		return word, nil
	}
	if len(l.words) >= maxOrigins {
		return nil, errTooManyOrigins
	}
	word = &Word{From: w.From, Incarnation: w.Incarnation, Started: w.Started, Windows: make(map[int64]Counts)}
	l.words[from] = word
	return word, nil
}

// mergeCounts raises the counts of a word to those of windows from first to last.
func (l *Ledger) mergeCounts(word *Word, windows map[int64]Counts, first, last int64) {
	for window, counts := range windows {
		if window < first || window > last {
			continue
		}
		own := word.Windows[window]
		if own == nil {
			own = make(Counts, len(counts))
			word.Windows[window] = own
		}
		for account, count := range counts {
			if _, exists := own[account]; !exists {
				if l.cells >= maxCells {
					account = counter.Lost
				}
				if _, exists = own[account]; !exists {
					l.cells++
				}
				name, ok := l.names[account]
				if !ok {
					name = account
					l.names[account] = account
				}
				account = name
			}
			own[account] = max(own[account], count)
		}
	}
}

// prune drops the windows and words that are too old to be reported.
func (l *Ledger) prune(now time.Time) {
	first := counter.WindowAt(now, l.window) - l.retain
	oldest := counter.WindowStart(first, l.window).UnixNano()
	dropped := false
	for from, word := range l.words {
		for window, counts := range word.Windows {
			if window < first {
				l.cells -= len(counts)
				delete(word.Windows, window)
				dropped = true
			}
		}
		// The time of a word that has no counts may be 0.
		if len(word.Windows) == 0 && max(word.AsOf, word.Started) < min(oldest, now.Add(-memoryAge).UnixNano()) {
			delete(l.words, from)
		}
	}
	if dropped && len(l.names) > 2*counter.DefaultMaxAccounts {
		clear(l.names)
	}
}

// MarkEnded records that no process of an entry runs at a true time.
func (l *Ledger) MarkEnded(id banyanplank.DaemonID, now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for from, word := range l.words {
		if from.entry == id && word.EndedBy == 0 {
			word.EndedBy = now.UnixNano()
		}
	}
}

// Silent returns the entries whose last word is older than an age at a true time, and whose
// processes are not known to have ended, in the order of their IDs.
func (l *Ledger) Silent(now time.Time, age time.Duration) (silent []banyanplank.DaemonID) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	latest := make(map[banyanplank.DaemonID]*Word)
	for from, word := range l.words {
		if other := latest[from.entry]; other == nil || word.Started > other.Started {
			latest[from.entry] = word
		}
	}
	for id, word := range latest {
		if !word.Final && word.EndedBy == 0 && now.UnixNano()-max(word.AsOf, word.Started) > int64(age) {
			silent = append(silent, id)
		}
	}
	slices.Sort(silent)
	return silent
}

// Export returns what the ledger knows about some windows, or about all if none is named.
func (l *Ledger) Export(windows ...int64) (export Export) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	export = Export{Since: l.since, Words: make([]Word, 0, len(l.words))}
	for _, word := range l.words {
		copied := *word
		copied.Windows = make(map[int64]Counts)
		for window, counts := range word.Windows {
			if len(windows) == 0 || slices.Contains(windows, window) {
				copied.Windows[window] = maps.Clone(counts)
			}
		}
		export.Words = append(export.Words, copied)
	}
	slices.SortFunc(export.Words, func(a, b Word) int {
		return cmp.Or(cmp.Compare(a.From, b.From), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return export
}

// Import merges all that another entry knows, as an entry does at its start. The export must
// cover all windows.
func (l *Ledger) Import(now time.Time, export *Export) (err error) {
	defer func() { err = errors.Wrap(err, "import usage") }()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	current := counter.WindowAt(now, l.window)
	return l.merge(export, current-l.retain, current+maxWindowsAhead)
}

// merge merges the words of an export about the windows from first to last.
func (l *Ledger) merge(export *Export, first, last int64) (err error) {
	for i := range export.Words {
		if err := export.Words[i].check(); err != nil {
			return err
		}
	}
	for i := range export.Words {
		word, err := l.word(&export.Words[i])
		if err != nil {
			return err
		}
		l.mergeCounts(word, export.Words[i].Windows, first, last)
		word.extend(&export.Words[i])
	}
	l.since = min(l.since, export.Since)
	return nil
}
