package daemon

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/coordination/admitter"
	"github.com/banyanplank/banyanplank/coordination/fencer"
	"github.com/banyanplank/banyanplank/coordination/forwarder"
	"github.com/banyanplank/banyanplank/coordination/limiter"
	"github.com/banyanplank/banyanplank/coordination/picker"
	"github.com/banyanplank/banyanplank/coordination/retrier"
	"github.com/banyanplank/banyanplank/coordination/suspecter"
	"github.com/banyanplank/banyanplank/state/loader"
)

// newPicker returns the picker of an entry. Its random samples differ from those
// of other entries and of earlier runs of the same entry.
func newPicker(settings loader.Settings, member banyanplank.Member) banyanplank.Picker {
	return picker.New(settings.Name, newRandom(member), picker.WithZone(settings.Zone))
}

// newRetrier returns the retry budgets of an entry.
func newRetrier(member banyanplank.Member) *retrier.Retrier {
	return retrier.New(newRandom(member))
}

// newRandom returns a random source that is seeded differently at each call.
func newRandom(member banyanplank.Member) *rand.Rand {
	return rand.New(rand.NewPCG(uint64(member.Incarnation), rand.Uint64()))
}

// newGuard returns the guard that wraps an agent's admitter and monitors its
// endpoint, and the endpoint wrapped in both the guard and the fencer of orders.
func newGuard(settings loader.Settings, member banyanplank.Member, invoker banyanplank.Endpoint) (guard *suspecter.Guard, endpoint *fencer.Fencer) {
	inner := admitter.New(settings.Name, member.Incarnation,
		admitter.WithZone(settings.Zone),
		admitter.WithService(settings.Endpoint.Service),
		admitter.WithCapacity(settings.Endpoint.Capacity),
		admitter.WithMaxCapacity(settings.Endpoint.Capacity),
	)
	guard = suspecter.NewGuard(settings.Name, inner, invoker)
	return guard, fencer.New(guard.Endpoint(), inner)
}

// findingsOpener is an opener that sends the known findings about a request along
// with it to the agent.
type findingsOpener struct {
	forwarder.Opener
	relay *suspecter.Relay
}

// Open implements [forwarder.Opener].
func (o findingsOpener) Open(ctx context.Context, member banyanplank.Member, request *banyanplank.Request, fresh bool) (answer forwarder.Answer, err error) {
	request.Findings = o.relay.FindingsFor(time.Now(), request.Fingerprint())
	return o.Opener.Open(ctx, member, request, fresh)
}

// limitedForwarder is a forwarder that enforces the accounts' limits.
type limitedForwarder struct {
	*forwarder.Forwarder
	daemon  banyanplank.DaemonID
	limiter *limiter.Limiter
}

// Forward implements [receiver.Forwarder]. A call with a location resumes an
// answer and does not count as a new request.
func (f limitedForwarder) Forward(ctx context.Context, request *banyanplank.Request, location *forwarder.Location) (delivery forwarder.Delivery, err error) {
	if location != nil {
		return f.Forwarder.Forward(ctx, request, location)
	}
	if err := f.limiter.Acquire(time.Now(), request.Account); err != nil {
		countRefusal("limit", f.daemon, banyanplank.ReasonLimit)
		return nil, err
	}
	delivery, err = f.Forwarder.Forward(ctx, request, nil)
	if err != nil {
		f.limiter.Release(request.Account)
		return nil, err
	}
	return &limitedDelivery{Delivery: delivery, limiter: f.limiter, account: request.Account}, nil
}

// limitedDelivery is a delivery that counts towards its account's limit until it
// is closed.
type limitedDelivery struct {
	forwarder.Delivery
	limiter     *limiter.Limiter
	account     banyanplank.AccountID
	releaseOnce sync.Once
}

// Close implements [banyanplank.Answer].
func (d *limitedDelivery) Close() (err error) {
	d.releaseOnce.Do(func() { d.limiter.Release(d.account) })
	return d.Delivery.Close()
}

// liveEntries returns the ids of the live entries among members.
func liveEntries(members []banyanplank.Member) (entries []banyanplank.DaemonID) {
	for _, m := range members {
		if isLiveEntry(m) {
			entries = append(entries, m.ID)
		}
	}
	return entries
}

func isLiveEntry(m banyanplank.Member) bool {
	return m.Role == banyanplank.RoleEntry && m.State == banyanplank.MemberLive
}
