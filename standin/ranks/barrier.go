package ranks

import (
	"context"
	"math/bits"
	"time"

	"github.com/sourcegraph/conc/pool"

	"github.com/banyanplank/banyanplank"
)

// Barrier is a dissemination barrier that also compares the maps that the ranks
// are armed with. In round k each rank sends its state to the rank 2^k places
// ahead, so that after ceil(log2(ranks)) rounds each rank has the state of all.
type Barrier struct {
	delay    time.Duration
	channels [][]chan armedState
}

// armedState is the merged state of the ranks known to one rank: the map that it
// is armed with, and whether any of them is armed with a different one.
type armedState struct {
	id      banyanplank.MapID
	differs bool
}

// merge returns the state combined with a received one.
func (s armedState) merge(other armedState) armedState {
	return armedState{id: s.id, differs: s.differs || other.differs || s.id != other.id}
}

// NewBarrier returns a barrier for a number of ranks. Delay is the one-way
// latency of their messages.
func NewBarrier(ranks int, delay time.Duration) *Barrier {
	b := &Barrier{delay: delay, channels: make([][]chan armedState, bits.Len(uint(ranks-1)))}
	for round := range b.channels {
		for range ranks {
			b.channels[round] = append(b.channels[round], make(chan armedState, 1))
		}
	}
	return b
}

// Wait blocks until all ranks have arrived. It returns the map that all ranks are
// armed with, or false if they are armed with different maps or none, or if ctx
// ends.
func (b *Barrier) Wait(ctx context.Context, rank int, armed banyanplank.MapID) (id banyanplank.MapID, ok bool) {
	state := armedState{id: armed}
	for round, channels := range b.channels {
		target := channels[(rank+1<<round)%len(channels)]
		message := state
		time.AfterFunc(b.delay, func() { target <- message })
		select {
		case received := <-channels[rank]:
			state = state.merge(received)
		case <-ctx.Done():
			return 0, false
		}
	}
	return state.id, !state.differs && state.id != 0
}

// Measure makes all ranks wait at the barrier the given number of times in a row,
// armed with the given maps. It returns the elapsed time and the number of ranks
// for which the last wait returned a common map.
func (b *Barrier) Measure(ctx context.Context, armed []banyanplank.MapID, times int) (elapsed time.Duration, agreed int) {
	start := time.Now()
	agrees := make([]bool, len(armed))
	group := pool.New()
	for rank := range armed {
		group.Go(func() {
			for range times {
				_, agrees[rank] = b.Wait(ctx, rank, armed[rank])
			}
		})
	}
	group.Wait()
	for _, ok := range agrees {
		if ok {
			agreed++
		}
	}
	return time.Since(start), agreed
}
