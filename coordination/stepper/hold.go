package stepper

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanplank/banyanplank"
)

// hold is a pass that the group does not begin until the rank that holds it releases it.
type hold struct {
	rank int
	pass uint64
}

// errNoHolder means that every rank already holds a pass.
var errNoHolder = errors.New("no rank can hold a pass")

// holdPass prevents the group from beginning a later pass. Each try is with another pass and
// usually another rank, so that an order which is executed late is told from this one.
func (g *group) holdPass(ctx context.Context) (h hold, err error) {
	for try := range maxHoldTries {
		if err := g.refresh(ctx); err != nil {
			return hold{}, err
		}
		// A pass that has begun in the meantime cannot be held.
		h = g.fence.newHold(g.latestStep()+g.passesAhead()+uint64(try), g.reports)
		if h.rank < 0 {
			return hold{}, errNoHolder
		}
		err = g.ranks.Order(ctx, g.backends[h.rank], banyanplank.RankOrder{Kind: banyanplank.RankHold, Epoch: g.epoch, Pass: h.pass})
		g.ordersSent++
		if err == nil {
			return h, nil
		}
		if errors.Is(err, banyanplank.ErrUncertain) {
			g.ordersUnanswered++
			g.fence.recordLate(h.rank)
		}
	}
	return hold{}, err
}

// releasePass allows the group to begin a held pass. It repeats the order after
// orderAnswerTimeout without waiting for its failure, since the whole group waits. A
// duplicate has no effect because the rank does not hold that pass again.
func (g *group) releasePass(ctx context.Context, h hold) (err error) {
	defer func() { err = errors.Wrapf(err, "release pass %d", h.pass) }()
	order := banyanplank.RankOrder{Kind: banyanplank.RankRelease, Epoch: g.epoch, Pass: h.pass}
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer g.inFlight.Wait()
	defer cancel()
	answers := make(chan error, int(releaseTimeout/orderAnswerTimeout)+1)
	for {
		g.inFlight.Go(func() { answers <- g.ranks.Order(ctx, g.backends[h.rank], order) })
		next := time.NewTimer(orderAnswerTimeout)
		select {
		case err = <-answers:
			next.Stop()
			if err == nil || errors.Is(err, banyanplank.ErrConflict) {
				return nil
			}
			g.fence.recordLate(h.rank)
			if paused := banyanplank.Sleep(ctx, releaseRetryPause); paused != nil {
				return errors.CombineErrors(err, paused)
			}
		case <-next.C:
			g.fence.recordLate(h.rank)
		case <-ctx.Done():
			next.Stop()
			g.fence.recordLate(h.rank)
			return errors.CombineErrors(ctx.Err(), err)
		}
	}
}

// completeSwitch reads all reports and releases the passes that are held, after it has
// completed the switches that were interrupted between their orders.
func (g *group) completeSwitch(ctx context.Context) (err error) {
	defer func() { err = errors.Wrap(err, "settle") }()
	if err := g.refresh(ctx); err != nil {
		return err
	}
	return g.completeHeldPasses(ctx)
}

// completeHeldPasses releases each pass that is held according to the latest reports, the
// next one first.
func (g *group) completeHeldPasses(ctx context.Context) (err error) {
	var held []hold
	for i, r := range g.reports {
		if r.HeldPass != 0 {
			held = append(held, hold{rank: i, pass: r.HeldPass})
		}
	}
	slices.SortFunc(held, func(a, b hold) int { return int(a.pass) - int(b.pass) })
	for _, h := range held {
		if err := g.completeHeldPass(ctx, h); err != nil {
			return err
		}
	}
	return nil
}

// completeHeldPass releases a held pass once all ranks are armed for it with the same map,
// or none is and none can be by an order that is executed late. It reads the reports once
// more, because a map that some rank lacks after the pass is held is armed for a later one.
func (g *group) completeHeldPass(ctx context.Context, h hold) (err error) {
	if err := g.refresh(ctx); err != nil {
		return err
	}
	if g.reports[h.rank].HeldPass != h.pass {
		return nil
	}
	if id := g.mapFor(h.pass); id != 0 {
		err = g.arm(ctx, id, h.pass)
	} else if g.canAnyRankSwitch(h.pass) {
		err = g.voidMaps(ctx, h.pass)
	}
	if err != nil {
		return err
	}
	return g.releasePass(ctx, h)
}

// mapFor returns the map for which a rank is armed, or has been ordered to be, to switch to
// at a pass, if each rank is armed so or can be. It returns zero if there is none.
func (g *group) mapFor(pass uint64) (id banyanplank.MapID) {
	for _, r := range g.reports {
		switch {
		case r.Armed != 0 && r.ArmedPass == pass:
			id = r.Armed
		case id == 0 && r.Prepared != 0 && g.fence.armedFor[r.Prepared] == pass:
			id = r.Prepared
		}
	}
	for _, r := range g.reports {
		if isArmed := r.Armed == id && r.ArmedPass == pass; !isArmed && (r.Armed != 0 || r.Prepared != id) {
			return 0
		}
	}
	return id
}

// canAnyRankSwitch reports whether a rank may switch maps at a pass: it is armed for it, or
// has prepared a map for which an order to arm may still be executed.
func (g *group) canAnyRankSwitch(pass uint64) bool {
	return slices.ContainsFunc(g.reports, func(r banyanplank.RankReport) bool {
		switch {
		case r.Armed != 0:
			return r.ArmedPass == pass || r.ArmedPass == 0
		case r.Prepared == 0:
			return false
		}
		armedFor, known := g.passOf(r.Prepared)
		return !known || armedFor == pass
	})
}

// passOf returns the only pass for which ranks are armed with a map, as far as it is known,
// or zero if no rank has been ordered to arm yet.
func (g *group) passOf(id banyanplank.MapID) (pass uint64, known bool) {
	for _, r := range g.reports {
		if r.Armed == id {
			return r.ArmedPass, r.ArmedPass != 0
		}
	}
	pass, known = g.fence.armedFor[id]
	return pass, known
}

// voidMaps has all ranks prepare the map in use under a new id. They then refuse late orders
// to arm them with any earlier map. A switch to such a map cannot complete any more, since
// some rank has another one.
func (g *group) voidMaps(ctx context.Context, heldPass uint64) (err error) {
	defer func() { err = errors.Wrap(err, "void prepared maps") }()
	current, err := g.readPlacement(ctx)
	if err != nil {
		return err
	}
	for _, id := range g.armedMaps() {
		if err := g.disarm(ctx, id); err != nil {
			return err
		}
	}
	_, err = g.prepareNew(ctx, current, heldPass)
	return err
}

// armedMaps returns the maps with which ranks are armed.
func (g *group) armedMaps() (ids []banyanplank.MapID) {
	for _, r := range g.reports {
		if r.Armed != 0 && !slices.Contains(ids, r.Armed) {
			ids = append(ids, r.Armed)
		}
	}
	return ids
}
