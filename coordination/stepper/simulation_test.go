package stepper

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/banyanplank/banyanplank"
)

// simGroup simulates a group of ranks that run in lock-step. It counts the passes that
// began while ranks used different maps.
type simGroup struct {
	mutex    sync.Mutex
	random   *rand.Rand
	spec     banyanplank.EngineSpec
	backends []banyanplank.Backend
	ranks    []*simRank
	epoch    uint64
	// closed is set while a rank is missing. The group then begins no pass.
	closed bool
	// idle is set while there are no requests. The group then begins no pass.
	idle     bool
	step     uint64
	passTime time.Duration
	// unansweredShare is the share of orders that get no answer and are executed seconds
	// later.
	unansweredShare float64
	// extraDelay is added to the delivery time of each order.
	extraDelay time.Duration
	// paused holds, by rank, a channel that is closed when the rank resumes. A paused rank
	// gives no answers, and orders to it wait.
	paused      map[int]chan struct{}
	lateOrders  conc.WaitGroup
	mixedPasses int
	passes      int
	mapChanges  int
	// passBegan is when the latest pass began, and longestInterval the longest time
	// between the begin of two passes.
	passBegan       time.Time
	longestInterval time.Duration
	// weight is the demand by expert.
	weight []float64
}

// simRank is one rank of a simGroup.
type simRank struct {
	mapID           banyanplank.MapID
	experts         [][]uint16
	prepared        banyanplank.MapID
	preparedExperts [][]uint16
	armed           banyanplank.MapID
	armedStep       uint64
	heldStep        uint64
	highestMapID    banyanplank.MapID
	// lateMapID is the map of a prepare order that is executed late.
	lateMapID banyanplank.MapID
	counts    []uint64
	// loadedAt is when the rank has copied the weights that it prepares.
	loadedAt time.Time
}

// newSimGroup returns a group with map 0, which assigns the experts to the ranks
// round-robin.
func newSimGroup(ranks, layers, experts, slots int, seed uint64) *simGroup {
	sg := &simGroup{
		random: rand.New(rand.NewPCG(seed, 1)),
		spec: banyanplank.EngineSpec{
			Slots: 12, BaseStepTime: 6 * time.Millisecond, Layers: layers, Experts: experts, ExpertSlots: slots, MaxNewExperts: 2,
			ExpertShare: 0.85, ExpertBytes: 880e6, LinkRate: 22.5e9,
		},
		epoch: 1, step: 1, passTime: 50 * time.Millisecond,
		paused: make(map[int]chan struct{}),
		weight: make([]float64, experts),
	}
	for i := range ranks {
		r := &simRank{counts: make([]uint64, layers*experts)}
		for range layers {
			var assigned []uint16
			for e := i; e < experts; e += ranks {
				assigned = append(assigned, uint16(e))
			}
			r.experts = append(r.experts, assigned)
		}
		sg.ranks = append(sg.ranks, r)
		sg.backends = append(sg.backends, banyanplank.Backend{ID: banyanplank.BackendID(fmt.Sprintf("rank-%02d", i)), Service: "chat", Rank: i})
	}
	sg.shiftDemand()
	return sg
}

// expertDemand returns the demand of an expert of one layer. Demand differs by layer.
func (sg *simGroup) expertDemand(layer, expert int) float64 {
	return sg.weight[(expert+layer*len(sg.weight)/3+layer)%len(sg.weight)]
}

// shiftDemand assigns the demand to the experts at random. A few of them have most of it.
func (sg *simGroup) shiftDemand() {
	sg.mutex.Lock()
	defer sg.mutex.Unlock()
	for i, e := range sg.random.Perm(len(sg.weight)) {
		sg.weight[e] = 1000 / float64(i+1)
	}
}

// run begins passes until ctx ends.
func (sg *simGroup) run(ctx context.Context) {
	for banyanplank.Sleep(ctx, sg.currentPassTime()) == nil {
		sg.beginPass()
	}
}

// currentPassTime returns the duration of a pass.
func (sg *simGroup) currentPassTime() (passTime time.Duration) {
	sg.mutex.Lock()
	defer sg.mutex.Unlock()
	return sg.passTime
}

// setIdle sets whether the group is idle.
func (sg *simGroup) setIdle(idle bool) {
	sg.mutex.Lock()
	defer sg.mutex.Unlock()
	sg.idle = idle
}

// passCount returns the number of passes that have begun.
func (sg *simGroup) passCount() (count int) {
	sg.mutex.Lock()
	defer sg.mutex.Unlock()
	return sg.passes
}

// setPassTime sets the duration of the passes from the next one on.
func (sg *simGroup) setPassTime(passTime time.Duration) {
	sg.mutex.Lock()
	defer sg.mutex.Unlock()
	sg.passTime = passTime
}

// beginPass begins the next pass unless a rank holds it.
func (sg *simGroup) beginPass() {
	sg.mutex.Lock()
	defer sg.mutex.Unlock()
	next := sg.step + 1
	if sg.closed || sg.idle {
		return
	}
	for _, r := range sg.ranks {
		if r.heldStep == next {
			return
		}
	}
	if !sg.passBegan.IsZero() {
		sg.longestInterval = max(sg.longestInterval, time.Since(sg.passBegan))
	}
	sg.step, sg.passBegan = next, time.Now()
	sg.passes++
	for _, r := range sg.ranks {
		if r.armed != 0 && r.armedStep == next {
			r.mapID, r.experts, r.armed, r.prepared = r.armed, r.preparedExperts, 0, 0
			sg.mapChanges++
		}
		for i := range r.counts {
			r.counts[i] += uint64(sg.expertDemand(i/len(sg.weight), i%len(sg.weight)))
		}
	}
	for _, r := range sg.ranks {
		if r.mapID != sg.ranks[0].mapID {
			sg.mixedPasses++
			return
		}
	}
}

// formAnew forms the group in a new epoch, with map 0 and nothing prepared.
func (sg *simGroup) formAnew() {
	fresh := newSimGroup(len(sg.ranks), sg.spec.Layers, sg.spec.Experts, sg.spec.ExpertSlots, 3)
	sg.mutex.Lock()
	defer sg.mutex.Unlock()
	for i, r := range sg.ranks {
		*r = *fresh.ranks[i]
	}
	sg.epoch++
	sg.closed = false
}

// reachRank returns the rank. It waits up to 250 ms for a paused rank to resume.
func (sg *simGroup) reachRank(ctx context.Context, backend *banyanplank.Backend) (r *simRank, err error) {
	sg.mutex.Lock()
	resume := sg.paused[backend.Rank]
	sg.mutex.Unlock()
	if resume != nil {
		ctx, cancel := context.WithTimeout(ctx, 250*time.Millisecond)
		defer cancel()
		select {
		case <-resume:
		case <-ctx.Done():
			return nil, banyanplank.ErrUncertain
		}
	}
	return sg.ranks[backend.Rank], nil
}

// Report implements banyanplank.RankClient.
func (sg *simGroup) Report(ctx context.Context, backend *banyanplank.Backend) (report banyanplank.RankReport, err error) {
	r, err := sg.reachRank(ctx, backend)
	if err != nil {
		return report, err
	}
	sg.mutex.Lock()
	defer sg.mutex.Unlock()
	prepared := r.prepared
	if time.Now().Before(r.loadedAt) {
		prepared = 0
	}
	return banyanplank.RankReport{
		Group: "g", Epoch: sg.epoch, Rank: backend.Rank, Size: len(sg.ranks), Open: !sg.closed, Pass: sg.step,
		Map: r.mapID, Prepared: prepared, Armed: r.armed, ArmedPass: r.armedStep, HeldPass: r.heldStep, Slowdown: 1,
	}, nil
}

// Counts implements banyanplank.RankClient.
func (sg *simGroup) Counts(ctx context.Context, backend *banyanplank.Backend) (counts banyanplank.RankCounts, err error) {
	r, err := sg.reachRank(ctx, backend)
	if err != nil {
		return counts, err
	}
	sg.mutex.Lock()
	defer sg.mutex.Unlock()
	return banyanplank.RankCounts{Epoch: sg.epoch, Counts: append([]uint64(nil), r.counts...)}, nil
}

// Placement implements banyanplank.RankClient.
func (sg *simGroup) Placement(ctx context.Context, backend *banyanplank.Backend) (places banyanplank.RankPlacement, err error) {
	r, err := sg.reachRank(ctx, backend)
	if err != nil {
		return places, err
	}
	sg.mutex.Lock()
	defer sg.mutex.Unlock()
	return banyanplank.RankPlacement{Map: r.mapID, Experts: r.experts}, nil
}

// Order implements banyanplank.RankClient. An order to a paused rank is executed when it
// resumes.
func (sg *simGroup) Order(ctx context.Context, backend *banyanplank.Backend, order banyanplank.RankOrder) (err error) {
	sg.mutex.Lock()
	if r := sg.ranks[backend.Rank]; order.Kind == banyanplank.RankPrepare && order.Map <= r.highestMapID {
		sg.mutex.Unlock()
		return banyanplank.ErrConflict
	}
	resume := sg.paused[backend.Rank]
	executeDelay := time.Duration(0)
	if sg.random.Float64() < sg.unansweredShare {
		executeDelay = 2*time.Second + time.Duration(sg.random.Int64N(int64(10*time.Second)))
	}
	sendDelay := sg.extraDelay + time.Duration(sg.random.Int64N(int64(8*time.Millisecond)))
	sg.mutex.Unlock()
	if resume == nil && executeDelay == 0 {
		if err := banyanplank.Sleep(ctx, sendDelay); err != nil {
			return err
		}
		return sg.execute(backend.Rank, order)
	}
	if order.Kind == banyanplank.RankPrepare && resume == nil {
		sg.mutex.Lock()
		// The rank records the id of an order on arrival, even if it executes the order
		// late.
		if r := sg.ranks[backend.Rank]; order.Map > r.highestMapID {
			r.highestMapID, r.lateMapID = order.Map, order.Map
		}
		sg.mutex.Unlock()
	}
	sg.lateOrders.Go(func() {
		if resume != nil {
			<-resume
		}
		time.Sleep(executeDelay)
		_ = sg.execute(backend.Rank, order) // the sender no longer waits
	})
	if err := banyanplank.Sleep(ctx, 250*time.Millisecond); err != nil {
		return err
	}
	return banyanplank.ErrUncertain
}

// execute executes an order by the rules in the documentation of the platform.
func (sg *simGroup) execute(i int, order banyanplank.RankOrder) (err error) {
	sg.mutex.Lock()
	defer sg.mutex.Unlock()
	r := sg.ranks[i]
	refused := order.Epoch != sg.epoch
	switch order.Kind {
	case banyanplank.RankPrepare:
		refused = refused || (order.Map <= r.highestMapID && order.Map != r.lateMapID) || r.armed != 0
		if !refused {
			r.highestMapID, r.lateMapID, r.prepared, r.preparedExperts = max(r.highestMapID, order.Map), 0, order.Map, nil
			copies := 0
			for l, layer := range order.Placement {
				r.preparedExperts = append(r.preparedExperts, layer[i])
				for _, e := range layer[i] {
					if !slices.Contains(r.experts[l], e) {
						copies++
					}
				}
			}
			r.loadedAt = time.Now().Add(time.Duration(float64(copies) * sg.spec.ExpertBytes / sg.spec.LinkRate * float64(time.Second)))
		}
	case banyanplank.RankArm:
		refused = refused || order.Map != r.prepared || time.Now().Before(r.loadedAt) || order.Pass <= sg.step
		if !refused {
			r.armed, r.armedStep = order.Map, order.Pass
		}
	case banyanplank.RankDisarm:
		refused = refused || order.Map != r.armed
		if !refused {
			r.armed = 0
		}
	case banyanplank.RankHold:
		refused = refused || order.Pass <= sg.step || r.heldStep != 0
		if !refused {
			r.heldStep = order.Pass
		}
	case banyanplank.RankRelease:
		refused = refused || r.heldStep != order.Pass
		if !refused {
			r.heldStep = 0
		}
	}
	if refused {
		return banyanplank.ErrConflict
	}
	return nil
}

// pause pauses a rank until the returned function is called.
func (sg *simGroup) pause(i int) (resume func()) {
	sg.mutex.Lock()
	defer sg.mutex.Unlock()
	paused := make(chan struct{})
	sg.paused[i] = paused
	return func() {
		sg.mutex.Lock()
		defer sg.mutex.Unlock()
		close(paused)
		delete(sg.paused, i)
	}
}

// maxSkew returns the load of the heaviest rank divided by the mean load, in the worst
// layer.
func (sg *simGroup) maxSkew() (worst float64) { return slices.Max(sg.layerSkews()) }

// meanSkew returns the load of the heaviest rank divided by the mean load, averaged over
// the layers.
func (sg *simGroup) meanSkew() (mean float64) {
	all := sg.layerSkews()
	for _, s := range all {
		mean += s / float64(len(all))
	}
	return mean
}

// layerSkews returns the load of the heaviest rank divided by the mean load, by layer.
func (sg *simGroup) layerSkews() (all []float64) {
	sg.mutex.Lock()
	defer sg.mutex.Unlock()
	total := 0.0
	for _, n := range sg.weight {
		total += n
	}
	for l := range sg.spec.Layers {
		replicas := make([]int, len(sg.weight))
		for _, r := range sg.ranks {
			for _, e := range r.experts[l] {
				replicas[e]++
			}
		}
		worst := 0.0
		for _, r := range sg.ranks {
			load := 0.0
			for _, e := range r.experts[l] {
				load += sg.expertDemand(l, int(e)) / float64(replicas[e])
			}
			worst = max(worst, load/total*float64(len(sg.ranks)))
		}
		all = append(all, worst)
	}
	return all
}

// fleet returns the FleetSource of a stepper that leads while leads returns true.
func (sg *simGroup) fleet(leads func() bool) FleetSource {
	table := &banyanplank.RoutingTable{Version: 1, Pools: []banyanplank.PoolSpec{{Name: "chat", Engine: &sg.spec}}}
	return func() (*banyanplank.RoutingTable, []banyanplank.Backend, Role) {
		role := Idle
		if leads() {
			role = Leader
		}
		return table, append([]banyanplank.Backend(nil), sg.backends...), role
	}
}

// isStalled reports whether the group has begun no pass for several passes.
func (sg *simGroup) isStalled(banyanplank.ServiceName) bool {
	sg.mutex.Lock()
	defer sg.mutex.Unlock()
	return !sg.passBegan.IsZero() && time.Since(sg.passBegan) > 300*time.Millisecond
}

// standbyFleet returns the FleetSource of a stepper on standby.
func (sg *simGroup) standbyFleet() FleetSource {
	fleet := sg.fleet(alwaysLeads)
	return func() (*banyanplank.RoutingTable, []banyanplank.Backend, Role) {
		table, backends, _ := fleet()
		return table, backends, Standby
	}
}

// trialCount returns how many of all trials (moments or seeds) a test runs: all without
// the race detector and some with it (-short), since it slows down the simulation by a
// factor of fifty.
func trialCount(all int) (count int) {
	if testing.Short() {
		return max(1, all/20)
	}
	return all
}

func alwaysLeads() bool { return true }
