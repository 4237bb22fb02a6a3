package leaser_test

import (
	"context"
	"flag"
	"fmt"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"
	"pgregory.net/rapid"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/coordination/leaser"
	"github.com/banyanplank/banyanplank/standin/platform"
)

// defaultSeed makes every run generate the same cases unless the command line
// sets a seed.
const defaultSeed = "20261204"

func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set(defaultSeed)
	}
	os.Exit(m.Run())
}

// stepDuration is the simulated time of one step.
const stepDuration = 250 * time.Millisecond

// storeCall is a call to the store that has been sent.
type storeCall struct {
	command   banyanplank.Command
	sentAt    time.Time
	effectAt  time.Time
	replyAt   time.Time
	timedOut  bool
	processed bool
	result    banyanplank.Msg
}

// candidate is a model that competes for the lease, with its calls.
type candidate struct {
	model  *leaser.Model
	calls  []*storeCall
	paused bool
}

// simulation is a store with one lease and its candidates. Delays are in steps,
// losses in percent.
type simulation struct {
	now   time.Time
	state storeState
	// past holds the state of the store at each step, the latest last.
	past          []storeState
	storeDown     bool
	maxDelaySteps int
	lossPercent   int
	candidates    []*candidate
	fenceOwners   map[uint64]int
}

// storeState is the state of the store. Latest is the last version that it gave out, for other
// objects too; version is zero without a lease.
type storeState struct {
	era             banyanplank.Era
	latest, version banyanplank.Version
	value           []byte
}

func newSimulation(count int, era banyanplank.Era) (s *simulation) {
	s = &simulation{now: time.Unix(1_800_000_000, 0), state: storeState{era: era}, fenceOwners: map[uint64]int{}}
	for i := range count {
		s.candidates = append(s.candidates, &candidate{model: leaser.NewModel(banyanplank.Member{
			ID: banyanplank.DaemonID(fmt.Sprint("agent-", i)), Incarnation: 1,
		})})
	}
	return s
}

// restore makes the store return from its state a number of steps ago.
func (s *simulation) restore(steps int) {
	era := s.state.era
	s.state = storeState{}
	if steps < len(s.past) {
		s.state = s.past[len(s.past)-1-steps]
	}
	s.state.era = era + 1
}

// advance simulates one step with generated delays and losses.
func (s *simulation) advance(t *rapid.T) {
	s.now = s.now.Add(stepDuration)
	s.past = append(s.past, s.state)
	for _, c := range s.candidates {
		for _, k := range c.calls {
			s.processCall(k)
		}
		if c.paused {
			continue
		}
		s.deliverReplies(t, c)
		_, commands := c.model.Update(s.now, banyanplank.TickMsg{})
		s.sendCommands(t, c, commands)
	}
	s.checkSingleHolder(t)
}

// processCall executes a call at the store once its request has arrived.
func (s *simulation) processCall(k *storeCall) {
	if k.processed || s.now.Before(k.effectAt) {
		return
	}
	k.processed = true
	if s.storeDown {
		k.result = failureMsg(k, banyanplank.ErrUnavailable)
		return
	}
	switch c := k.command.(type) {
	case leaser.ReadCmd:
		k.result = leaser.ReadResultMsg{Object: banyanplank.Object{Version: s.state.version, Era: s.state.era, Value: s.state.value}}
	case leaser.WriteCmd:
		if c.Expect != s.state.version {
			k.result = failureMsg(k, banyanplank.ErrConflict)
			return
		}
		s.state.latest++
		s.state.version, s.state.value = s.state.latest, c.Value
		k.result = leaser.WriteResultMsg{Command: c, Sent: k.sentAt, Position: banyanplank.Position{Era: s.state.era, Revision: s.state.version}}
	}
}

func failureMsg(k *storeCall, err error) (msg banyanplank.Msg) {
	if c, ok := k.command.(leaser.WriteCmd); ok {
		return leaser.WriteResultMsg{Command: c, Sent: k.sentAt, Err: err}
	}
	return leaser.ReadResultMsg{Err: err}
}

// callTimeout is when a candidate stops waiting for a reply.
const callTimeout = 3 * time.Second

// deliverReplies delivers replies and timeouts to the candidate. A write that
// timed out may still reach the store later.
func (s *simulation) deliverReplies(t *rapid.T, c *candidate) {
	calls := c.calls
	c.calls = nil // handling a reply may add calls
	for _, k := range calls {
		switch {
		case k.processed && !k.timedOut && !s.now.Before(k.replyAt):
			_, commands := c.model.Update(s.now, k.result)
			s.sendCommands(t, c, commands)
		case s.now.Sub(k.sentAt) >= callTimeout && !k.timedOut:
			k.timedOut = true
			_, commands := c.model.Update(s.now, failureMsg(k, banyanplank.ErrUncertain))
			s.sendCommands(t, c, commands)
			c.calls = append(c.calls, k)
		case !k.processed || !k.timedOut:
			c.calls = append(c.calls, k)
		}
	}
}

func (s *simulation) sendCommands(t *rapid.T, c *candidate, commands []banyanplank.Command) {
	for _, command := range commands {
		requestDelay := time.Duration(rapid.IntRange(0, s.maxDelaySteps).Draw(t, "there")) * stepDuration
		replyDelay := time.Duration(rapid.IntRange(0, s.maxDelaySteps).Draw(t, "back")) * stepDuration
		lost := rapid.IntRange(0, 99).Draw(t, "lost") < s.lossPercent
		replyAt := s.now.Add(requestDelay + replyDelay)
		if lost {
			replyAt = s.now.Add(time.Hour)
		}
		c.calls = append(c.calls, &storeCall{command: command, sentAt: s.now, effectAt: s.now.Add(requestDelay), replyAt: replyAt})
	}
}

// checkSingleHolder checks that at most one candidate holds the lease by its own
// clock, that no fencing number has two owners, and that fencing numbers only
// rise.
func (s *simulation) checkSingleHolder(t *rapid.T) {
	holders := 0
	for i, c := range s.candidates {
		lease := c.model.Lease()
		if !lease.IsHeld(s.now) {
			continue
		}
		holders++
		if owner, ok := s.fenceOwners[lease.Fence]; ok && owner != i {
			t.Fatalf("fencing number %d has two owners", lease.Fence)
		}
		s.fenceOwners[lease.Fence] = i
		for fence := range s.fenceOwners {
			if fence > lease.Fence {
				t.Fatalf("fencing number %d is held after %d", lease.Fence, fence)
			}
		}
	}
	if holders > 1 {
		t.Fatalf("%d holders at once", holders)
	}
}

// TestLeaseHasAtMostOneHolder guards against two holders at once and against
// reused fencing numbers after slow, lost and late calls, outages and pauses.
// For a longer run:
//
//	go test ./coordination/leaser -run AtMostOneHolder -rapid.checks=10000
func TestLeaseHasAtMostOneHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(rapid.IntRange(1, 4).Draw(t, "candidates"), 0)
		for range rapid.IntRange(1, 20).Draw(t, "phases") {
			s.storeDown = rapid.IntRange(0, 3).Draw(t, "down") == 0
			s.maxDelaySteps = rapid.IntRange(0, 20).Draw(t, "slow")
			s.lossPercent = rapid.SampledFrom([]int{0, 10, 50}).Draw(t, "loss")
			for _, c := range s.candidates {
				c.paused = rapid.IntRange(0, 3).Draw(t, "paused") == 0
			}
			for range rapid.IntRange(1, 120).Draw(t, "steps") {
				s.advance(t)
			}
		}
	})
}

// TestLeaseHasAtMostOneHolderAcrossReturns guards against two holders at once and against fencing
// numbers that are used again after the store returned from an older copy: of its state before any
// lease, with one that was released, or with an older one of the same or another holder.
func TestLeaseHasAtMostOneHolderAcrossReturns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(rapid.IntRange(1, 4).Draw(t, "candidates"), banyanplank.Era(rapid.IntRange(0, 1).Draw(t, "era")))
		for range rapid.IntRange(1, 30).Draw(t, "phases") {
			if rapid.IntRange(0, 2).Draw(t, "return") == 0 {
				s.restore(rapid.SampledFrom([]int{0, 1, 4, 20, 60, 120, 1000}).Draw(t, "age"))
			}
			s.storeDown = rapid.IntRange(0, 5).Draw(t, "down") == 0
			s.maxDelaySteps = rapid.IntRange(0, 12).Draw(t, "slow")
			s.lossPercent = rapid.SampledFrom([]int{0, 0, 10, 50}).Draw(t, "loss")
			for _, c := range s.candidates {
				c.paused = rapid.IntRange(0, 3).Draw(t, "paused") == 0
			}
			if rapid.IntRange(0, 3).Draw(t, "release") == 0 {
				s.release(t, rapid.IntRange(0, len(s.candidates)-1).Draw(t, "by"))
			}
			// Other objects are written, too.
			s.state.latest += banyanplank.Version(rapid.IntRange(0, 3).Draw(t, "others"))
			for range rapid.IntRange(1, 120).Draw(t, "steps") {
				s.advance(t)
			}
		}
	})
}

// release makes a candidate release the lease, and compete again later.
func (s *simulation) release(t *rapid.T, i int) {
	c := s.candidates[i]
	_, commands := c.model.Update(s.now, leaser.ReleaseMsg{Resume: s.now.Add(10 * stepDuration)})
	s.sendCommands(t, c, commands)
}

// startLeasers runs one leaser per store and returns them. Each starts 2 seconds
// after the one before, so the first acquires the lease.
func startLeasers(ctx context.Context, group *conc.WaitGroup, stores ...*platform.Platform) (leasers []*leaser.Leaser) {
	for i, store := range stores {
		l := leaser.New(store, "group/langtang", banyanplank.Member{ID: banyanplank.DaemonID(fmt.Sprint("agent-", i)), Incarnation: 1})
		group.Go(func() { _ = l.Run(ctx) })
		leasers = append(leasers, l)
		time.Sleep(2 * time.Second)
	}
	return leasers
}

// TestLeaseMovesAfterLongOutageOfHolder guards against a lease that is lost in a
// short outage, or that stays with a holder that cannot reach the store.
func TestLeaseMovesAfterLongOutageOfHolder(t *testing.T) {
	tests := map[string]struct {
		outage time.Duration
		moves  bool
	}{
		"short outage": {10 * time.Second, false},
		"long outage":  {40 * time.Second, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, cancel := context.WithCancel(t.Context())
				var group conc.WaitGroup
				store := platform.New()
				first, second := store.Client(), store.Client()
				leasers := startLeasers(ctx, &group, first, second)
				is.True(leasers[0].Lease().IsHeld(time.Now()))
				is.True(!leasers[1].Lease().IsHeld(time.Now()))
				first.SetDown(true)
				for deadline := time.Now().Add(test.outage); time.Now().Before(deadline); {
					time.Sleep(100 * time.Millisecond)
					is.True(!leasers[0].Lease().IsHeld(time.Now()) || !leasers[1].Lease().IsHeld(time.Now()))
				}
				is.Equal(leasers[1].Lease().IsHeld(time.Now()), test.moves)
				is.Equal(leasers[0].Lease().IsHeld(time.Now()), !test.moves)
				first.SetDown(false)
				if test.moves {
					is.Equal(leasers[1].Lease().Fence, uint64(2))
				}
				cancel()
				group.Wait()
			})
		})
	}
}

// TestNonCandidateDoesNotReadStore guards against store calls from every daemon
// of a group, and against a holder that loses its lease when it is no longer a
// candidate.
func TestNonCandidateDoesNotReadStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		var group conc.WaitGroup
		store := platform.New()
		first, second := store.Client(), store.Client()
		leasers := startLeasers(ctx, &group, first, second)
		leasers[0].SetCandidate(false) // the holder keeps renewing
		leasers[1].SetCandidate(false)
		calls := second.Calls().Reads()
		time.Sleep(time.Minute)
		is.True(leasers[0].Lease().IsHeld(time.Now()))
		is.Equal(second.Calls().Reads(), calls)
		cancel()
		group.Wait()
	})
}

// TestIsCandidateSelectsCandidateCountMembers guards against too many candidates
// in a large group.
func TestIsCandidateSelectsCandidateCountMembers(t *testing.T) {
	is := is.New(t)
	var members []banyanplank.Member
	for i := range 256 {
		members = append(members, banyanplank.Member{ID: banyanplank.DaemonID(fmt.Sprint("agent-", i))})
	}
	count := 0
	for _, m := range members {
		if leaser.IsCandidate("group/langtang", m.ID, members) {
			count++
		}
	}
	is.Equal(count, leaser.CandidateCount)
}

// TestReleasedLeaseMovesWithinRenewInterval guards against a planned stop after
// which the other candidates wait for the lease to expire.
func TestReleasedLeaseMovesWithinRenewInterval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		var group conc.WaitGroup
		store := platform.New()
		leasers := startLeasers(ctx, &group, store, store)
		leasers[0].Release(ctx)
		time.Sleep(leaser.RenewInterval + time.Second)
		is.True(!leasers[0].Lease().IsHeld(time.Now()))
		is.True(leasers[1].Lease().IsHeld(time.Now()))
		is.Equal(leasers[1].Lease().Fence, uint64(2))
		cancel()
		group.Wait()
	})
}
