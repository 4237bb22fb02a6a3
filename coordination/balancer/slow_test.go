package balancer

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/banyanplank/banyanplank"
)

// TestSlowRank has one rank of a group hold up all others while the group is full.
// It alone has room, and gets no calls: each would slow all streams.
func TestSlowRank(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newTest(engine(4), endpoints("chat", 8, 4, "a"), 1)
		slow := banyanplank.BackendID("chat-03")
		b.Slow(time.Now(), []banyanplank.BackendID{slow})
		ask := func() (to banyanplank.BackendID) {
			lease, err := b.Acquire(t.Context(), Query{Service: "chat", Goal: 100 * time.Millisecond})
			if err != nil {
				return ""
			}
			return lease.Backend.ID
		}
		for range 7 * 4 {
			to := ask()
			is.True(to != "" && to != slow)
		}
		is.Equal(ask(), banyanplank.BackendID("")) // full
		time.Sleep(slowAge)
		is.Equal(ask(), slow) // no word of it any more
	})
}

// TestSlowRanks has all ranks hold up their group: they are used all the same.
func TestSlowRanks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newTest(engine(4), endpoints("chat", 2, 4, "a"), 1)
		b.Slow(time.Now(), []banyanplank.BackendID{"chat-00", "chat-01"})
		_, err := b.Acquire(t.Context(), Query{Service: "chat", Goal: 100 * time.Millisecond})
		is.NoErr(err)
	})
}
