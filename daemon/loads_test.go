package daemon

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/banyanplank/banyanplank"
)

func TestLoadCounterCountsUnderOneMap(t *testing.T) {
	is := is.New(t)
	member := banyanplank.Member{Group: "g", Rank: 2, Incarnation: 9}
	at := func(seconds int) time.Time { return time.Unix(int64(1000+seconds), 0) }
	status := func(boot string, id banyanplank.MapID, counts ...uint64) banyanplank.RankStatus {
		return banyanplank.RankStatus{Boot: boot, Map: id, Counts: counts}
	}
	var c loadCounter
	_, ok := c.next(at(0), member, status("a", 1, 10, 20))
	is.Equal(ok, false) // nothing to compare with
	load, ok := c.next(at(60), member, status("a", 1, 70, 21))
	is.True(ok)
	is.Equal(load.Tokens, []uint32{60, 1})
	is.Equal(load.Span, time.Minute)
	is.Equal(load.Sequence, uint64(1))
	short := load
	short.Tokens = nil
	c.sent(at(60), short, status("a", 1, 70, 21))
	load, ok = c.next(at(90), member, status("a", 1, 100, 22))
	is.True(ok)
	is.Equal(load.Tokens, []uint32{90, 2}) // a report without counts kept them
	is.Equal(load.Sequence, uint64(2))
	c.sent(at(90), load, status("a", 1, 100, 22))
	_, ok = c.next(at(120), member, status("a", 2, 5, 5))
	is.Equal(ok, false) // another map
	_, ok = c.next(at(150), member, status("b", 2, 9, 9))
	is.Equal(ok, false) // another boot
	load, ok = c.next(at(180), member, status("b", 2, 10, 19))
	is.True(ok)
	is.Equal(load.Tokens, []uint32{1, 10})
	is.Equal(load.Map, banyanplank.MapID(2))
}
