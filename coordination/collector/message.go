package collector

import (
	"encoding/json"
	"math"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/state/counter"
)

// Limits on messages between entries.
const (
	// MaxMessageBytes bounds an encoded [Message], and MaxExportBytes an encoded [Export].
	MaxMessageBytes = 4 << 20
	MaxExportBytes  = 64 << 20
	// maxChanges is the number of counts in one message. Further counts follow in the next one.
	maxChanges = 8192
	// maxNameBytes bounds the name of an entry and of an account.
	maxNameBytes = 256
	// maxCount bounds the count of an account in a window.
	maxCount = math.MaxInt32
)

// Counts holds the number of requests of each account.
type Counts map[banyanplank.AccountID]int64

// Word is what one incarnation of an entry has reported about its counts. Times are true times
// in nanoseconds since 1970.
type Word struct {
	From        banyanplank.DaemonID    `json:"from"`
	Incarnation banyanplank.Incarnation `json:"incarnation"`
	// Started is when the incarnation began to count.
	Started int64 `json:"started"`
	// AsOf is the time up to which the counts are complete.
	AsOf int64 `json:"as_of,omitempty"`
	// Final reports that the incarnation counts no further requests.
	Final bool `json:"final,omitempty"`
	// EndedBy is the time by which the process is known to have ended, or 0.
	EndedBy int64 `json:"ended_by,omitempty"`
	// Through is the revision of the entry's counter through which the counts are complete.
	Through uint64 `json:"through"`
	// Windows holds the total counts of each window so far.
	Windows map[int64]Counts `json:"windows,omitempty"`
}

// Message is a [Word] that holds only the counts that changed after a revision.
type Message struct {
	Word
	After uint64 `json:"after,omitempty"`
	// Wall is the time of the sender's own clock, in nanoseconds since 1970.
	Wall int64 `json:"wall,omitempty"`
}

// maxMembers is the number of members of objects in an encoded message: each count may have its own
// window, and the others are fields of the message.
const maxMembers = 2*maxChanges + 32

// DecodeMessage decodes a message. It returns an error if it has more counts than a [Sender] puts
// into one: decoded, a count may take thirty times its text.
func DecodeMessage(data []byte) (message *Message, err error) {
	defer func() { err = errors.Wrap(err, "decode usage") }()
	if countMembers(data) > maxMembers {
		return nil, errors.New("too many counts")
	}
	message = &Message{}
	if err := json.Unmarshal(data, message); err != nil {
		return nil, err
	}
	return message, nil
}

// countMembers returns the number of members of all objects in JSON text.
func countMembers(data []byte) (members int) {
	inString := false
	for i := 0; i < len(data); i++ {
		switch c := data[i]; {
		case inString && c == '\\':
			i++
		case c == '"':
			inString = !inString
		case !inString && c == ':':
			members++
		}
	}
	return members
}

// Reply is the response to a [Message].
type Reply struct {
	// Through is the revision through which the receiver has the sender's counts.
	Through uint64 `json:"through"`
	// Wall is the time of the receiver's own clock, in nanoseconds since 1970.
	Wall int64 `json:"wall"`
}

// Export is what an entry knows about the counts of all entries.
type Export struct {
	// Since is the true time since which the entries send their counts to this one, in
	// nanoseconds since 1970, or the largest number if they don't.
	Since int64  `json:"since"`
	Words []Word `json:"words"`
}

// check returns an error if the word holds invalid values.
func (w *Word) check() (err error) {
	if w.From == "" || len(w.From) > maxNameBytes {
		return errors.New("invalid name of the entry")
	}
	if w.Started < 0 || w.AsOf < 0 || w.EndedBy < 0 {
		return errors.New("negative time")
	}
	for _, counts := range w.Windows {
		for account, count := range counts {
			if count < 0 || count > maxCount {
				return errors.Newf("count %d is out of range", count)
			}
			if len(account) > maxNameBytes {
				return errors.New("account name is too long")
			}
		}
	}
	return nil
}

// Sender composes the messages of one entry. It is not safe for concurrent use.
type Sender struct {
	counter     *counter.Counter
	from        banyanplank.DaemonID
	incarnation banyanplank.Incarnation
	// started returns the true time since which the entry counts, as known now.
	started func() time.Time
	// acknowledged holds the revision through which each receiver has the counts.
	acknowledged map[banyanplank.DaemonID]uint64
}

// NewSender returns a sender of the counts of an entry. The true time at which it began to count
// may be corrected while the clock is.
func NewSender(counts *counter.Counter, from banyanplank.DaemonID, incarnation banyanplank.Incarnation, started func() time.Time) *Sender {
	return &Sender{counter: counts, from: from, incarnation: incarnation, started: started, acknowledged: make(map[banyanplank.DaemonID]uint64)}
}

// claimMargin is how long before a message its counts are claimed to be complete. It covers
// requests that have read the clock and are not counted yet, and small corrections of the clock.
const claimMargin = 50 * time.Millisecond

// Compose returns the next message for a receiver at a true time, and whether further counts
// remain for another message. Final reports that the entry counts no further requests.
func (s *Sender) Compose(to banyanplank.DaemonID, now time.Time, final bool) (message *Message, more bool) {
	after := s.acknowledged[to]
	changes, through := s.counter.Changes(after, maxChanges)
	message = &Message{After: after, Word: Word{
		From: s.from, Incarnation: s.incarnation, Started: s.started().UnixNano(), Through: through, Windows: make(map[int64]Counts),
	}}
	for _, change := range changes {
		counts := message.Windows[change.Window]
		if counts == nil {
			counts = make(Counts)
			message.Windows[change.Window] = counts
		}
		counts[change.Account] = change.Count
	}
	more = len(changes) == maxChanges
	if !more {
		message.AsOf, message.Final = now.Add(-claimMargin).UnixNano(), final
	}
	return message, more
}

// Acknowledge records the reply of a receiver. A receiver that has restarted names an earlier
// revision than before.
func (s *Sender) Acknowledge(to banyanplank.DaemonID, reply Reply) {
	s.acknowledged[to] = reply.Through
}

// Forget drops the state of all receivers but some.
func (s *Sender) Forget(keep []banyanplank.DaemonID) {
	kept := make(map[banyanplank.DaemonID]uint64, len(keep))
	for _, id := range keep {
		if revision, ok := s.acknowledged[id]; ok {
			kept[id] = revision
		}
	}
	s.acknowledged = kept
}
