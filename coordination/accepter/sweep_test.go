package accepter_test

import (
	"context"
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/sourcegraph/conc"
	"pgregory.net/rapid"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/coordination/accepter"
	"github.com/banyanplank/banyanplank/standin/platform"
)

// seed makes every run draw the same cases unless the command line says otherwise.
const seed = "20261204"

func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set(seed)
	}
	os.Exit(m.Run())
}

// withAccount returns a configuration whose only account has the given weight.
func withAccount(weight int) *banyanplank.Configuration {
	c := zones(false, false)
	c.Accounts = []banyanplank.AccountSpec{{Name: "himal", Weight: weight}}
	return c
}

func TestSweepKeepsWhatIsNeeded(t *testing.T) {
	is := is.New(t)
	store := platform.New()
	a := accepter.New(store, accepter.WithSweep(0))
	for i := range 30 {
		_, err := a.Accept(t.Context(), banyanplank.Revision(i), withAccount(i+1))
		is.NoErr(err)
	}
	removed, err := a.Sweep(t.Context())
	is.NoErr(err)
	is.Equal(removed, 3*13) // revisions 1 to 13: an index, a shard and a root each
	fresh := accepter.New(store)
	current, err := fresh.Current(t.Context())
	is.NoErr(err)
	is.Equal(current.Accounts[0].Weight, 30)
	past, err := fresh.Past(t.Context(), 14)
	is.NoErr(err)
	is.Equal(past.Accounts[0].Weight, 14)
	_, err = fresh.Past(t.Context(), 13)
	is.True(errors.Is(err, banyanplank.ErrNotFound))
	_, err = fresh.Accept(t.Context(), 13, withAccount(99))
	conflict, ok := accepter.AsConflict(err)
	is.True(ok)
	is.True(conflict.Forgotten)
}

// operator is one submission in a race.
type operator struct {
	base    banyanplank.Revision
	weight  int
	request time.Duration
	reply   time.Duration
	lost    int
	patient time.Duration
	sweeps  bool

	revision banyanplank.Revision
	err      error
}

// drawOperator draws a submission on one of the last revisions.
func drawOperator(t *rapid.T, newest banyanplank.Revision, label string) *operator {
	back := rapid.IntRange(0, 2).Draw(t, label+" back")
	return &operator{
		base:    newest - min(newest, banyanplank.Revision(back)),
		weight:  rapid.IntRange(1, 5).Draw(t, label+" weight"),
		request: time.Duration(rapid.IntRange(0, 900).Draw(t, label+" request")) * time.Millisecond,
		reply:   time.Duration(rapid.IntRange(0, 900).Draw(t, label+" reply")) * time.Millisecond,
		lost:    rapid.IntRange(0, 3).Draw(t, label+" lost"),
		patient: time.Duration(rapid.IntRange(1, 30).Draw(t, label+" patient")) * time.Second,
		sweeps:  rapid.Bool().Draw(t, label+" sweeps"),
	}
}

// run submits, with a sweep before it if drawn.
func (o *operator) run(ctx context.Context, store *platform.Platform) {
	ctx, cancel := context.WithTimeout(ctx, o.patient)
	defer cancel()
	store.SetDelay(o.request, o.reply)
	a := accepter.New(store, accepter.WithSweep(1))
	if o.sweeps {
		_, _ = a.Sweep(ctx)
	}
	store.LoseReplies(o.lost)
	o.revision, o.err = a.Accept(ctx, o.base, withAccount(o.weight))
}

// verify compares the operator's outcome with the accepted revisions.
func (o *operator) verify(t *rapid.T, weights map[banyanplank.Revision]int) {
	weight, kept := weights[o.revision]
	_, conflict := accepter.AsConflict(o.err)
	switch {
	case o.err == nil && kept && weight != o.weight:
		t.Fatalf("revision %d has weight %d, its operator was told that %d took", o.revision, weight, o.weight)
	case o.err == nil && o.revision == 0:
		t.Fatalf("success without a revision")
	case conflict && weights[o.base+1] == o.weight:
		t.Fatalf("a conflict for what became revision %d", o.base+1)
	}
}

// TestRacesAgainstOracle lets operators race with slow and lost replies, late
// writes and sweeps. The oracle is the sequence of accepted revisions. For a
// longer run: go test ./coordination/accepter -run Oracle -rapid.checks=20000
func TestRacesAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rapid.SyncTest(t, func(t *rapid.T) {
			store := platform.New()
			weights := map[banyanplank.Revision]int{}
			var newest banyanplank.Revision
			for round := range rapid.IntRange(1, 6).Draw(t, "rounds") {
				newest = race(t, store, round, newest, weights)
			}
		})
	})
}

// race runs one round of operators at once and returns the newest revision.
func race(t *rapid.T, store *platform.Platform, round int, newest banyanplank.Revision, weights map[banyanplank.Revision]int) banyanplank.Revision {
	var operators []*operator
	for i := range rapid.IntRange(1, 4).Draw(t, "operators") {
		operators = append(operators, drawOperator(t, newest, fmt.Sprintf("round %d operator %d", round, i)))
	}
	var group conc.WaitGroup
	for _, o := range operators {
		group.Go(func() { o.run(t.Context(), store.Client()) })
	}
	group.Wait()
	time.Sleep(2 * time.Second) // late writes arrive
	reader := accepter.New(store)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	current, err := reader.Current(ctx)
	if err != nil {
		t.Fatalf("the accepted configuration is damaged: %v", err)
	}
	if current.Revision < newest {
		t.Fatalf("revision %d reverted to %d", newest, current.Revision)
	}
	readWeights(ctx, t, reader, newest, current, weights)
	for _, o := range operators {
		o.verify(t, weights)
	}
	return current.Revision
}

// readWeights adds the revisions after newest to weights.
func readWeights(ctx context.Context, t *rapid.T, reader *accepter.Accepter, newest banyanplank.Revision, current *banyanplank.Configuration, weights map[banyanplank.Revision]int) {
	if current.Revision == 0 {
		return
	}
	weights[current.Revision] = current.Accounts[0].Weight
	for r := newest + 1; r < current.Revision; r++ {
		past, err := reader.Past(ctx, r)
		if err != nil {
			t.Fatalf("revision %d is damaged: %v", r, err)
		}
		weights[r] = past.Accounts[0].Weight
	}
}
