package stepper

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"github.com/banyanplank/banyanplank"
)

// idleTime is the length of a lull. Most late orders are executed within it.
const idleTime = 8 * time.Second

// runBursts has requests come for busyTime, again and again after a lull of idleTime, with
// other experts in demand each time. It returns the passes that began in each burst.
func runBursts(ctx context.Context, sg *simGroup, busyTime time.Duration) (passes []int) {
	for ctx.Err() == nil {
		sg.shiftDemand()
		before := sg.passCount()
		sg.setIdle(false)
		_ = banyanplank.Sleep(ctx, busyTime)
		sg.setIdle(true)
		passes = append(passes, sg.passCount()-before)
		_ = banyanplank.Sleep(ctx, idleTime)
	}
	return passes
}

// TestPassesUseOneMapAfterLull has an idle group execute orders late. Guards against a
// pass that is released although some ranks are not armed for it: an idle group begins no
// pass, so that no late order is refused because its pass has begun.
func TestPassesUseOneMapAfterLull(t *testing.T) {
	tests := map[string]struct {
		ranks int
		share float64
		busy  time.Duration
	}{
		"small group, third unanswered": {4, 0.35, 700 * time.Millisecond},
		"third unanswered":              {16, 0.35, 1600 * time.Millisecond},
		"tenth unanswered":              {16, 0.1, 1600 * time.Millisecond},
		"short burst":                   {16, 0.25, 300 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			bursts, stuck := 0, 0
			for seed := range uint64(trialCount(20)) {
				synctest.Test(t, func(t *testing.T) {
					sg := newSimGroup(test.ranks, 2, 4*test.ranks, 6, seed)
					sg.unansweredShare = test.share
					runSimulation(t, sg, []*Stepper{New(sg, sg.fleet(alwaysLeads))}, 100*time.Second, func(ctx context.Context) {
						for _, passes := range runBursts(ctx, sg, test.busy) {
							bursts++
							if passes == 0 {
								stuck++
							}
						}
					})
				})
			}
			t.Logf("%d of %d bursts without a pass", stuck, bursts)
			is.New(t).True(stuck*10 <= bursts) // a late hold order is undone soon
		})
	}
}

// TestPassesUseOneMapAfterLullWithOtherLeader has two entries lead in turn, and a standby
// entry, while an idle group executes orders late. Guards against a pass that one entry
// releases while the other one arms the ranks for it.
func TestPassesUseOneMapAfterLullWithOtherLeader(t *testing.T) {
	for seed := range uint64(trialCount(40)) {
		synctest.Test(t, func(t *testing.T) {
			sg := newSimGroup(8, 2, 32, 6, seed)
			sg.unansweredShare = 0.3
			var firstLeads, secondLeads atomic.Bool
			steppers := []*Stepper{
				New(sg, sg.fleet(firstLeads.Load)),
				New(sg, sg.fleet(secondLeads.Load), WithInterval(170*time.Millisecond)),
				New(sg, sg.standbyFleet(), WithStallDetector(sg.isStalled)),
			}
			runSimulation(t, sg, steppers, 100*time.Second, func(ctx context.Context) {
				var work conc.WaitGroup
				defer work.Wait()
				work.Go(func() {
					takeTurns(ctx, &firstLeads, &secondLeads, 700*time.Millisecond+time.Duration(seed%7)*500*time.Millisecond)
				})
				runBursts(ctx, sg, 900*time.Millisecond)
			})
		})
	}
}

// takeTurns has one of two entries lead for turn, then the other. Around each change both
// lead, or neither, for 300 ms.
func takeTurns(ctx context.Context, first, second *atomic.Bool, turn time.Duration) {
	first.Store(true)
	for banyanplank.Sleep(ctx, turn) == nil {
		wasFirst := first.Load()
		second.Store(wasFirst)
		_ = banyanplank.Sleep(ctx, 300*time.Millisecond)
		first.Store(!wasFirst)
	}
}
