package ranks

import (
	"context"
	"math/bits"
	"time"

	"github.com/sourcegraph/conc/pool"

	"github.com/banyanplank/banyanplank"
)

// Barrier lets ranks wait for each other and compare the maps that they are
// armed with, by dissemination: in round k each rank tells the one 2^k places
// on what it has heard, so that after log2 of the ranks, rounded up, each has
// heard of all.
type Barrier struct {
	delay time.Duration
	links [][]chan offer
}

// offer is what a rank has heard of the maps that ranks are armed with.
type offer struct {
	id    banyanplank.MapID
	mixed bool
}

// join returns what is known after hearing other.
func (o offer) join(other offer) offer {
	return offer{id: o.id, mixed: o.mixed || other.mixed || o.id != other.id}
}

// NewBarrier returns a barrier for ranks whose messages take delay one way.
func NewBarrier(ranks int, delay time.Duration) *Barrier {
	b := &Barrier{delay: delay, links: make([][]chan offer, bits.Len(uint(ranks-1)))}
	for round := range b.links {
		for range ranks {
			b.links[round] = append(b.links[round], make(chan offer, 1))
		}
	}
	return b
}

// Pass waits until all ranks have arrived. It returns the map that all of them
// are armed with, or false.
func (b *Barrier) Pass(ctx context.Context, rank int, armed banyanplank.MapID) (id banyanplank.MapID, ok bool) {
	known := offer{id: armed}
	for round, links := range b.links {
		to := links[(rank+1<<round)%len(links)]
		message := known
		time.AfterFunc(b.delay, func() { to <- message })
		select {
		case heard := <-links[rank]:
			known = known.join(heard)
		case <-ctx.Done():
			return 0, false
		}
	}
	return known.id, !known.mixed && known.id != 0
}

// Measure lets all ranks pass the barrier a number of times in a row with the
// maps that they are armed with. It returns the time that this took and how
// many ranks found all to be armed alike.
func (b *Barrier) Measure(ctx context.Context, armed []banyanplank.MapID, times int) (took time.Duration, alike int) {
	start := time.Now()
	found := make([]bool, len(armed))
	group := pool.New()
	for rank := range armed {
		group.Go(func() {
			for range times {
				_, found[rank] = b.Pass(ctx, rank, armed[rank])
			}
		})
	}
	group.Wait()
	for _, ok := range found {
		if ok {
			alike++
		}
	}
	return time.Since(start), alike
}
