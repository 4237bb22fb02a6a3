package assembler_test

import (
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/protocol/assembler"
)

func TestAccept(t *testing.T) {
	tests := map[string]struct {
		path    uint64
		attempt banyanplank.AttemptID
		offset  uint64
		deliver bool
		err     error
	}{
		"next part":          {path: 2, attempt: "b", offset: 3, deliver: true},
		"doubled part":       {path: 2, attempt: "b", offset: 2},
		"part of old path":   {path: 1, attempt: "b", offset: 3},
		"part of old try":    {path: 2, attempt: "a", offset: 3},
		"part after missing": {path: 2, attempt: "b", offset: 4, err: assembler.ErrGap},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			a := assembler.New(3)
			a.Switch("a")
			a.Switch("b")
			deliver, err := a.Accept(test.path, test.attempt, banyanplank.Part{Offset: test.offset})
			is.Equal(deliver, test.deliver)
			is.True(errors.Is(err, test.err))
		})
	}
}

func TestFinishNeedsEveryPart(t *testing.T) {
	is := is.New(t)
	a := assembler.New(0)
	path := a.Switch("a")
	_, err := a.Finish(path, "a", banyanplank.End{Parts: 1})
	is.True(errors.Is(err, assembler.ErrLength))
	_, err = a.Accept(path, "a", banyanplank.Part{})
	is.NoErr(err)
	whole, err := a.Finish(path, "a", banyanplank.End{Parts: 1})
	is.NoErr(err)
	is.True(whole)
	deliver, err := a.Accept(path, "a", banyanplank.Part{Offset: 1})
	is.NoErr(err)
	is.True(!deliver)
}

// message is one thing on the way from an agent.
type message struct {
	path    uint64
	attempt banyanplank.AttemptID
	offset  uint64
	end     bool
}

// TestAnswerIsWholeUnderAnyOrder sends the parts over paths that lose, double,
// delay and cross messages. What is delivered is always a prefix of the
// answer, and the answer is whole only with every part.
func TestAnswerIsWholeUnderAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const parts = 6
		a := assembler.New(0)
		var flying []message
		var got []uint64
		var ended bool

		for step := range 60 {
			switch rapid.SampledFrom([]string{"switch", "deliver", "deliver", "deliver", "lose", "double"}).Draw(t, "action") {
			case "switch":
				attempt := rapid.SampledFrom([]banyanplank.AttemptID{"0", "1", "2"}).Draw(t, "attempt")
				path := a.Switch(attempt)
				for o := a.Next(); o < parts; o++ {
					flying = append(flying, message{path: path, attempt: attempt, offset: o})
				}
				flying = append(flying, message{path: path, attempt: attempt, end: true})
			case "deliver":
				if len(flying) == 0 {
					continue
				}
				i := rapid.IntRange(0, min(2, len(flying)-1)).Draw(t, "which")
				m := flying[i]
				flying = append(flying[:i:i], flying[i+1:]...)
				if m.end {
					whole, _ := a.Finish(m.path, m.attempt, banyanplank.End{Parts: parts})
					ended = ended || whole
					continue
				}
				deliver, _ := a.Accept(m.path, m.attempt, banyanplank.Part{Offset: m.offset})
				if deliver {
					got = append(got, m.offset)
				}
			case "lose":
				if len(flying) > 0 {
					flying = flying[1:]
				}
			case "double":
				if len(flying) > 0 {
					flying = append(flying, flying[0])
				}
			}
			for i, offset := range got {
				if offset != uint64(i) {
					t.Fatalf("step %d: delivered %v", step, got)
				}
			}
			if ended && len(got) != parts {
				t.Fatalf("step %d: whole with %d parts", step, len(got))
			}
		}
	})
}

// BenchmarkAccept reports the time to check one part's path and offset.
func BenchmarkAccept(b *testing.B) {
	a := assembler.New(0)
	path := a.Switch("r.0")
	part := banyanplank.Part{}
	for b.Loop() {
		if _, err := a.Accept(path, "r.0", part); err != nil {
			b.Fatal(err)
		}
		part.Offset++
	}
}
