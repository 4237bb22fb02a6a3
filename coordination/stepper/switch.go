package stepper

import (
	"context"
	"math"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc/pool"

	"github.com/banyanplank/banyanplank"
)

// Timeouts and limits of a switch.
const (
	// prepareTimeout bounds the time in which all ranks load their weights, also those
	// that execute the order late.
	prepareTimeout = lateOrderTime
	// maxPrepareRetries bounds the maps that are prepared one after the other because some
	// rank gave no answer. A rank refuses to prepare the same map again until it has
	// executed the first order.
	maxPrepareRetries = 8
	// maxUnansweredShare is the largest share of unanswered orders at which another
	// attempt finishes sooner than the late orders are executed.
	maxUnansweredShare = 0.13
	// defaultArmLead is the time from now to the held pass until the duration of arming
	// all ranks is known.
	defaultArmLead = 120 * time.Millisecond
	// minOrderTries and maxOrderTries bound how often an order can be sent before the held
	// pass while some orders get no answer. maxUnansweredRanks is the mean number of ranks
	// that may still be missing after that.
	minOrderTries      = 3
	maxOrderTries      = 12
	maxUnansweredRanks = 0.05
	// reportTime is how long it takes to read the reports of all ranks between two
	// attempts.
	reportTime = 25 * time.Millisecond
	// orderAnswerTimeout is how long an order waits for its answer. answerTimeoutPerRank
	// is added for each rank of the group, since orders to all ranks are sent in parallel.
	// An endpoint answers within a few milliseconds.
	orderAnswerTimeout   = 60 * time.Millisecond
	answerTimeoutPerRank = time.Millisecond
	// armTimeout bounds the time in which a round tries to arm all ranks. The next round
	// continues.
	armTimeout = 10 * time.Second
	// releaseTimeout bounds the time in which the release of a pass is repeated.
	releaseTimeout = 10 * time.Second
	// releaseRetryPause is the time between a failed release order and the next one.
	releaseRetryPause = 10 * time.Millisecond
	// pollInterval is the time between two reads of the reports of ranks that have not
	// executed an order. Loading an expert takes tens of milliseconds.
	pollInterval = 25 * time.Millisecond
	// defaultPassTime is assumed until a pass has been measured, and minPassTime is the
	// lower bound of a measured pass time.
	defaultPassTime = 50 * time.Millisecond
	minPassTime     = 15 * time.Millisecond
	// minPassesAhead is the minimum distance of the held pass. The group cannot begin a
	// held pass, so even the next one may be held: ranks are usually armed before it is
	// due.
	minPassesAhead = 1
	// slowestPassDecayTime is the time in which the weight of the slowest pass falls to
	// 1/e. After a lull passes are as slow as before it, and the old map stays in use
	// until the held pass is due.
	slowestPassDecayTime = 10 * time.Second
	// maxHoldTries bounds the hold orders that get no answer. A pass that is held late is
	// released in a later round.
	maxHoldTries = 4
)

// errGroupChanged means that the group was formed anew, or that its ranks are not those
// with which the switch began.
var errGroupChanged = errors.New("the group's epoch or ranks have changed")

// errUnanswered means that a rank gave no answer and executes its order late.
var errUnanswered = errors.New("a rank gave no answer")

// errSuperseded means that a rank has since prepared another map.
var errSuperseded = errors.New("a rank has prepared another map")

// prepareNew makes all ranks load a new map and returns its id. A map for which a rank gave
// no answer is replaced by the next one where that is faster than waiting. heldPass is the
// pass that is held meanwhile, or zero if none is.
func (g *group) prepareNew(ctx context.Context, p placement, heldPass uint64) (id banyanplank.MapID, err error) {
	for range maxPrepareRetries + 1 {
		g.fence.observe(g.reports)
		id = g.fence.createMap()
		if err = g.prepare(ctx, id, p, heldPass); !errors.Is(err, errUnanswered) {
			break
		}
	}
	return id, err
}

// prepare makes all ranks load a map. heldPass is the pass that is held meanwhile, or zero
// if none is. While a pass is held, a later map of another entry serves as well: it voids
// the same maps.
func (g *group) prepare(ctx context.Context, id banyanplank.MapID, p placement, heldPass uint64) (err error) {
	order := banyanplank.RankOrder{Kind: banyanplank.RankPrepare, Epoch: g.epoch, Map: id, Placement: p, Pass: heldPass}
	err = g.orderUntilDone(ctx, order, prepareTimeout, func(r banyanplank.RankReport) bool {
		return r.Prepared < id || (heldPass == 0 && r.Prepared != id)
	})
	return errors.Wrapf(err, "prepare map %d", id)
}

// activate switches to a map that all ranks have prepared.
func (g *group) activate(ctx context.Context, id banyanplank.MapID) (err error) {
	defer func() { err = errors.Wrapf(err, "switch to map %d", id) }()
	began := time.Now()
	h, err := g.holdPass(ctx)
	if err != nil {
		// An order without an answer may have been executed.
		return errors.CombineErrors(err, g.completeSwitch(ctx))
	}
	// Some ranks may be armed or may still receive a delayed order, so the pass is
	// released only when all are armed.
	if err := g.arm(ctx, id, h.pass); err != nil {
		return err
	}
	g.armTime = time.Since(began)
	return g.releasePass(ctx, h)
}

// passesAhead returns the distance, in passes, of a pass to hold now.
func (g *group) passesAhead() (n uint64) { return passesIn(g.lead(), max(g.passTime, g.slowestPass)) }

// lead returns the time allowed for arming all ranks before the held pass.
func (g *group) lead() (lead time.Duration) {
	switch {
	case g.ordersUnanswered > 0:
		return time.Duration(g.orderTries(len(g.backends)))*(g.answerTimeout()+pollInterval+reportTime) +
			time.Duration(g.orderTries(1))*(orderAnswerTimeout+releaseRetryPause)
	case g.armTime > 0:
		return g.armTime
	default:
		return defaultArmLead
	}
}

// orderTries returns how often an order must be sent until the given number of ranks has
// probably answered, at the rate of unanswered orders in this round.
func (g *group) orderTries(ranks int) (count int) {
	unansweredShare := float64(g.ordersUnanswered) / float64(g.ordersSent)
	if unansweredShare >= 1 {
		return maxOrderTries
	}
	needed := math.Log(maxUnansweredRanks/float64(ranks)) / math.Log(unansweredShare)
	return min(max(minOrderTries, int(math.Ceil(needed))), maxOrderTries)
}

// passesIn returns the distance, in passes, of the first pass that begins after lead.
func passesIn(lead, passTime time.Duration) (passes uint64) {
	if passTime <= 0 {
		passTime = defaultPassTime
	}
	return max(minPassesAhead, uint64(lead/max(minPassTime, passTime))+1)
}

// arm arms all ranks for a held pass. A map is armed for one pass only: an order that is
// executed late could otherwise change the pass of a single rank.
func (g *group) arm(ctx context.Context, id banyanplank.MapID, pass uint64) (err error) {
	defer func() { err = errors.Wrap(err, "arm") }()
	if !g.fence.bind(id, pass) {
		return errSuperseded
	}
	order := banyanplank.RankOrder{Kind: banyanplank.RankArm, Epoch: g.epoch, Map: id, Pass: pass}
	return g.orderUntilDone(ctx, order, armTimeout, func(r banyanplank.RankReport) bool {
		isArmed := r.Armed == id && r.ArmedPass == pass
		return !isArmed && r.Map != id
	})
}

// disarm cancels the pending switch to a map at the ranks armed with it.
func (g *group) disarm(ctx context.Context, id banyanplank.MapID) (err error) {
	order := banyanplank.RankOrder{Kind: banyanplank.RankDisarm, Epoch: g.epoch, Map: id}
	var armed []*banyanplank.Backend
	for i, r := range g.reports {
		if r.Armed == id {
			armed = append(armed, g.backends[i])
		}
	}
	err = g.orderRanksUntilDone(ctx, order, armed, armTimeout, func(r banyanplank.RankReport) bool { return r.Armed == id })
	return errors.Wrapf(err, "disarm map %d", id)
}

// readPlacement reads the map in use from all ranks.
func (g *group) readPlacement(ctx context.Context) (p placement, err error) {
	answers := make([]banyanplank.RankPlacement, len(g.backends))
	work := pool.New().WithErrors()
	for i, b := range g.backends {
		work.Go(func() (err error) {
			answers[i], err = g.ranks.Placement(ctx, b)
			return err
		})
	}
	if err := work.Wait(); err != nil {
		return nil, err
	}
	p = make(placement, len(answers[0].Experts))
	for _, h := range answers {
		if h.Map != answers[0].Map || len(h.Experts) != len(p) {
			return nil, errors.Newf("one rank has map %d with %d layers, another has map %d", h.Map, len(h.Experts), answers[0].Map)
		}
		for l := range p {
			p[l] = append(p[l], h.Experts[l])
		}
	}
	return p, nil
}
