package main

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"reflect"
	"slices"
	"sync"
	"time"
)

// The sizes and times of the group, as in the configuration of names.json.
const (
	groupRanks   = 4
	groupExperts = 16
	groupSpare   = 2
	passTime     = 50 * time.Millisecond
	// copyTime is how long a rank copies the experts that a map adds.
	copyTime = 60 * time.Millisecond
	// picksPerPass is the number of choices of experts of one request in a pass.
	picksPerPass = 40
	// shiftTime is the time after which other experts are in demand.
	shiftTime = 6 * time.Second
)

// expertMap lists the experts by rank; the group has one set of layers.
type expertMap [groupRanks][]int

// order is the body of an order.
type order struct {
	Op      string    `json:"op"`
	Epoch   int       `json:"epoch"`
	Version uint64    `json:"version"`
	Step    uint64    `json:"step"`
	Map     [][][]int `json:"map"`
}

// rank is the state of one rank.
type rank struct {
	version     uint64
	experts     expertMap
	prepared    uint64
	preparedMap expertMap
	// highest is the highest version that the rank has had, and copying the one whose copy
	// is not complete.
	highest, copying     uint64
	armed, armedAt, held uint64
	sequence             int
	counts               [groupExperts]uint64
	streams              map[chan uint64]bool
}

// group is a group of ranks that execute each pass together, as the pages say.
type group struct {
	rig   *rig
	mutex sync.Mutex
	begin time.Time
	step  uint64
	ranks [groupRanks]rank
	// mixed counts the passes that began while two ranks had different maps, and switches
	// the maps that came into use.
	mixed, switches int
}

// newGroup returns an idle group with map 0, which assigns the experts in turn.
func newGroup(r *rig) (g *group) {
	g = &group{rig: r, begin: time.Now()}
	var first expertMap
	for e := range groupExperts {
		first[e%groupRanks] = append(first[e%groupRanks], e)
	}
	for i := range g.ranks {
		g.ranks[i].experts, g.ranks[i].streams = first, make(map[chan uint64]bool)
	}
	return g
}

// beginPass begins the next pass unless the group is idle or a rank holds that pass.
func (g *group) beginPass() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	running := 0
	for i := range g.ranks {
		running += len(g.ranks[i].streams)
		if g.ranks[i].held == g.step+1 {
			return
		}
	}
	if running == 0 {
		return
	}
	g.step++
	before := g.ranks[0].version
	for i := range g.ranks {
		r := &g.ranks[i]
		if r.armed != 0 && r.armedAt == g.step {
			r.version, r.experts = r.armed, r.preparedMap
			r.armed, r.armedAt, r.prepared = 0, 0, 0
		}
	}
	var versions []uint64
	differs := false
	for i := range g.ranks {
		versions = append(versions, g.ranks[i].version)
		differs = differs || g.ranks[i].version != g.ranks[0].version || !reflect.DeepEqual(g.ranks[i].experts, g.ranks[0].experts)
	}
	switch {
	case differs:
		if g.mixed++; g.mixed <= 5 {
			g.rig.log("MAP: pass %d begins with the maps %v", g.step, versions)
		}
	case versions[0] != before:
		g.switches++
		g.rig.log("pass %d begins with map %d at all ranks", g.step, versions[0])
	}
	popular := int(time.Since(g.begin)/shiftTime) % groupRanks
	for i := range g.ranks {
		r := &g.ranks[i]
		for stream := range r.streams {
			for range picksPerPass {
				e := rand.IntN(groupExperts)
				if rand.IntN(4) > 0 { // three of four choices are for the popular ones
					e = e/groupRanks*groupRanks + popular
				}
				r.counts[e]++
			}
			select {
			case stream <- g.step:
			default: // its client reads slowly
			}
		}
	}
}

// report returns the report of a rank.
func (g *group) report(i int) (fields map[string]any) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	r := &g.ranks[i]
	fields = map[string]any{
		"stage": "both", "busy": false, "sequence": r.sequence, "queued": 0, "running": len(r.streams), "handles": 0,
		"group": g.membership(i), "size": groupRanks, "step": g.step, "map": r.version,
		"prepared": nil, "armed": nil, "held": nil, "pace": 1.0,
	}
	if r.prepared != 0 {
		fields["prepared"] = r.prepared
	}
	if r.armed != 0 {
		fields["armed"] = map[string]any{"version": r.armed, "step": r.armedAt}
	}
	if r.held != 0 {
		fields["held"] = r.held
	}
	return fields
}

// membership returns where a rank is in the group.
func (g *group) membership(i int) (fields map[string]any) {
	return map[string]any{"name": "g", "epoch": 1, "rank": i, "state": "open"}
}

// picked returns what the requests of a rank have chosen, or its maps.
func (g *group) picked(i int, lists bool) (fields map[string]any) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	r := &g.ranks[i]
	if !lists {
		return map[string]any{"step": g.step, "epoch": 1, "counts": r.counts}
	}
	listed := func(version uint64, m expertMap) map[string]any {
		return map[string]any{"version": version, "experts": [][]int{m[i]}}
	}
	fields = map[string]any{"map": listed(r.version, r.experts), "prepared": nil}
	if r.prepared != 0 {
		fields["prepared"] = listed(r.prepared, r.preparedMap)
	}
	return fields
}

// execute carries out an order at a rank and returns the status of its answer.
func (g *group) execute(i int, o order) (status int) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	r := &g.ranks[i]
	if o.Epoch != 1 {
		return http.StatusConflict
	}
	status = g.executeKind(r, i, o)
	if status == http.StatusAccepted {
		r.sequence++
	}
	return status
}

func (g *group) executeKind(r *rank, i int, o order) (status int) {
	switch o.Op {
	case "prepare":
		return g.prepare(r, i, o)
	case "arm":
		switch {
		case r.armed == o.Version && r.armedAt == o.Step:
			return http.StatusOK
		case r.armed != 0 || r.prepared != o.Version || o.Step <= g.step:
			return http.StatusConflict
		}
		r.armed, r.armedAt = o.Version, o.Step
	case "disarm":
		switch {
		case r.version == o.Version:
			return http.StatusConflict
		case r.armed != o.Version:
			return http.StatusOK
		}
		r.armed, r.armedAt = 0, 0
	case "hold":
		switch {
		case r.held == o.Step && o.Step > g.step:
			return http.StatusOK
		case r.held != 0 || o.Step <= g.step:
			return http.StatusConflict
		}
		r.held = o.Step
	case "go":
		if r.held != o.Step {
			return http.StatusOK
		}
		r.held = 0
	default:
		return http.StatusBadRequest
	}
	return http.StatusAccepted
}

// prepare begins to copy the experts of a map that are new to the rank.
func (g *group) prepare(r *rank, i int, o order) (status int) {
	if r.prepared == o.Version || r.copying == o.Version {
		return http.StatusOK
	}
	if o.Version <= r.highest || r.armed != 0 || len(o.Map) != 1 || len(o.Map[0]) != groupRanks {
		return http.StatusConflict
	}
	var wanted expertMap
	copy(wanted[:], o.Map[0])
	fresh := 0
	for _, e := range wanted[i] {
		if !slices.Contains(r.experts[i], e) {
			fresh++
		}
	}
	if fresh > groupSpare {
		return http.StatusConflict
	}
	r.highest, r.copying = o.Version, o.Version
	complete := func() {
		g.mutex.Lock()
		defer g.mutex.Unlock()
		if r.copying == o.Version {
			r.prepared, r.preparedMap, r.copying = o.Version, wanted, 0
		}
	}
	time.AfterFunc(time.Duration(fresh)*copyTime/groupSpare, complete)
	return http.StatusAccepted
}

// decodeOrder decodes the body of an order.
func decodeOrder(body []byte) (o order, err error) {
	err = json.Unmarshal(body, &o)
	return o, err
}
