package stepper

import (
	"testing"

	"github.com/matryer/is"

	"github.com/banyanplank/banyanplank"
)

// TestSlowRankOfAGroupThatIsGone has a group be listed under another name when it is
// formed anew. What was said of its ranks before is said no more.
func TestSlowRankOfAGroupThatIsGone(t *testing.T) {
	is := is.New(t)
	var told []banyanplank.BackendID
	s := New(nil, nil, WithSlow(func(_ banyanplank.ServiceName, endpoints []banyanplank.BackendID) { told = endpoints }))
	old, fresh := ensemble{"chat", "g0"}, ensemble{"chat", "g1"}
	s.terms[old], s.terms[fresh] = &term{}, &term{}
	s.noteSlow(old, s.terms[old], []banyanplank.BackendID{"rank-03"})
	s.noteSlow(fresh, s.terms[fresh], nil)
	is.Equal(told, []banyanplank.BackendID{"rank-03"})
	s.forget("chat", [][]banyanplank.Backend{{{ID: "rank-03", Group: "g1"}}})
	s.noteSlow(fresh, s.terms[fresh], nil)
	is.Equal(len(told), 0)
}
