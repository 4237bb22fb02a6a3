package gateway

import (
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/coordination/balancer"
	"github.com/banyanplank/banyanplank/transport/logger"
)

// TestSlowOfTwoServices has the planner look at two services in turn. Heartbeats name
// the slow endpoints of both, for as long as they are news.
func TestSlowOfTwoServices(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := &Daemon{balancer: balancer.New(), logger: logger.New(io.Discard)}
		d.noteSlow("chat", []banyanplank.BackendID{"chat-03"})
		d.noteSlow("draft", nil)
		is.Equal(d.slowNow(), []banyanplank.BackendID{"chat-03"})
		time.Sleep(slowNews / 2)
		d.noteSlow("draft", []banyanplank.BackendID{"draft-01"})
		is.Equal(d.slowNow(), []banyanplank.BackendID{"chat-03", "draft-01"})
		time.Sleep(slowNews / 2)
		is.Equal(d.slowNow(), []banyanplank.BackendID{"draft-01"})
		d.noteSlow("draft", nil)
		is.Equal(len(d.slowNow()), 0)
	})
}
