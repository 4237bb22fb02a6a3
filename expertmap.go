package banyanplank

import (
	"strconv"

	"github.com/cockroachdb/errors"
)

// MapID names one [ExpertMap] of a group. An id is never used for two maps.
// Zero means that no map is known.
type MapID uint64

// NewMapID returns the id of the map numbered sequence under a fencing
// number. Ids of a later fencing number are larger.
func NewMapID(fence uint64, sequence uint32) MapID {
	return MapID(fence<<mapSequenceBits | uint64(sequence))
}

// mapSequenceBits is the width of the sequence number in a map id.
const mapSequenceBits = 24

// String returns the id as a decimal number.
func (i MapID) String() string {
	return strconv.FormatUint(uint64(i), 10)
}

// NoExpert marks a slot that holds no expert.
const NoExpert = 0xFFFF

// The largest shape that a map may have.
const (
	maxRanks   = 4096
	maxLayers  = 1024
	maxExperts = 4096
	maxSlots   = 4096
)

// MapShape is the size of a group's expert maps.
type MapShape struct {
	Ranks   int
	Layers  int
	Experts int
	// Slots is the number of expert replicas that one rank holds in a layer.
	Slots int
}

// Check reports why no map can have the shape.
func (s MapShape) Check() (err error) {
	switch {
	case s.Ranks < 1 || s.Ranks > maxRanks:
		return errors.Newf("%d ranks, want 1 to %d", s.Ranks, maxRanks)
	case s.Layers < 1 || s.Layers > maxLayers:
		return errors.Newf("%d layers, want 1 to %d", s.Layers, maxLayers)
	case s.Experts < 1 || s.Experts > maxExperts:
		return errors.Newf("%d experts, want 1 to %d", s.Experts, maxExperts)
	case s.Slots < 1 || s.Slots > maxSlots:
		return errors.Newf("%d slots, want 1 to %d", s.Slots, maxSlots)
	case s.Ranks*s.Slots < s.Experts:
		return errors.Newf("%d ranks of %d slots do not hold %d experts", s.Ranks, s.Slots, s.Experts)
	}
	return nil
}

// Places returns the number of slots in all layers.
func (s MapShape) Places() int {
	return s.Layers * s.Ranks * s.Slots
}

// Shape returns the shape of the group's expert maps.
func (g GroupSpec) Shape() (shape MapShape) {
	return MapShape{Ranks: g.Ranks, Layers: g.Layers, Experts: g.Experts, Slots: g.Slots}
}

// SlotMove puts an expert into one slot. Moving [NoExpert] empties the slot,
// which moves no weights.
type SlotMove struct {
	Layer  uint16
	Rank   uint16
	Slot   uint16
	Expert uint16
}

// ExpertMap tells which expert each slot of each rank holds in each layer.
// The tokens of an expert are spread evenly over the ranks that hold it. A
// value is immutable.
type ExpertMap struct {
	Group GroupName
	ID    MapID
	Shape MapShape
	// Places holds the experts by layer, then rank, then slot.
	Places []uint16
}

// NewExpertMap returns the map that places the experts in order and fills the
// slots that remain with second replicas of the first experts.
func NewExpertMap(group GroupName, id MapID, shape MapShape) (m ExpertMap, err error) {
	if err := shape.Check(); err != nil {
		return ExpertMap{}, errors.Wrapf(err, "expert map of group %q", group)
	}
	m = ExpertMap{Group: group, ID: id, Shape: shape, Places: make([]uint16, shape.Places())}
	width := shape.Ranks * shape.Slots
	for i := range m.Places {
		m.Places[i] = placeInOrder(i%width, shape)
	}
	return m, m.Check()
}

// placeInOrder returns the expert at a position of a layer of a new map. Slots
// beyond one round of the experts of a rank stay empty.
func placeInOrder(position int, shape MapShape) (expert uint16) {
	rank, slot := position/shape.Slots, position%shape.Slots
	if slot >= shape.Experts {
		return NoExpert
	}
	return uint16((rank*shape.Slots + slot) % shape.Experts)
}

// Index returns the position of a slot in [ExpertMap.Places].
func (m ExpertMap) Index(layer, rank, slot int) (index int) {
	return (layer*m.Shape.Ranks+rank)*m.Shape.Slots + slot
}

// Layer returns the places of one layer, by rank and slot. The caller must not
// change them.
func (m ExpertMap) Layer(layer int) (places []uint16) {
	width := m.Shape.Ranks * m.Shape.Slots
	return m.Places[layer*width : (layer+1)*width]
}

// Check reports why the map can't be used: each expert must have a place in
// each layer, and no rank may hold an expert twice in a layer.
func (m ExpertMap) Check() (err error) {
	defer func() { err = errors.Wrapf(err, "expert map %d of group %q", m.ID, m.Group) }()
	if err := m.Shape.Check(); err != nil {
		return err
	}
	if len(m.Places) != m.Shape.Places() {
		return errors.Newf("%d places, want %d", len(m.Places), m.Shape.Places())
	}
	for layer := range m.Shape.Layers {
		if err := m.checkLayer(layer); err != nil {
			return err
		}
	}
	return nil
}

// checkLayer checks the places of one layer.
func (m ExpertMap) checkLayer(layer int) (err error) {
	latest := make([]int, m.Shape.Experts)
	for i, expert := range m.Layer(layer) {
		if expert == NoExpert {
			continue
		}
		rank := i / m.Shape.Slots
		if int(expert) >= m.Shape.Experts {
			return errors.Newf("layer %d rank %d: expert %d of %d", layer, rank, expert, m.Shape.Experts)
		}
		if latest[expert] == rank+1 {
			return errors.Newf("layer %d rank %d holds expert %d twice", layer, rank, expert)
		}
		latest[expert] = rank + 1
	}
	for expert, rank := range latest {
		if rank == 0 {
			return errors.Newf("layer %d: expert %d has no place", layer, expert)
		}
	}
	return nil
}

// Diff returns the moves that turn m into next, in place order.
func (m ExpertMap) Diff(next ExpertMap) (moves []SlotMove, err error) {
	if err := m.matches(next.Group, next.Shape); err != nil {
		return nil, err
	}
	for i, expert := range next.Places {
		if m.Places[i] == expert {
			continue
		}
		row := i / m.Shape.Slots
		moves = append(moves, SlotMove{
			Layer:  uint16(row / m.Shape.Ranks),
			Rank:   uint16(row % m.Shape.Ranks),
			Slot:   uint16(i % m.Shape.Slots),
			Expert: expert,
		})
	}
	return moves, nil
}

// Apply returns the checked map that the moves turn m into.
func (m ExpertMap) Apply(id MapID, moves []SlotMove) (next ExpertMap, err error) {
	next = ExpertMap{Group: m.Group, ID: id, Shape: m.Shape, Places: make([]uint16, len(m.Places))}
	copy(next.Places, m.Places)
	for _, v := range moves {
		if int(v.Layer) >= m.Shape.Layers || int(v.Rank) >= m.Shape.Ranks || int(v.Slot) >= m.Shape.Slots {
			return ExpertMap{}, errors.Newf("move outside of map %d: layer %d rank %d slot %d", m.ID, v.Layer, v.Rank, v.Slot)
		}
		next.Places[m.Index(int(v.Layer), int(v.Rank), int(v.Slot))] = v.Expert
	}
	return next, next.Check()
}

// Loads returns how many slots of next must be filled with weights that their
// rank does not hold in m.
func (m ExpertMap) Loads(next ExpertMap) (slots int, err error) {
	moves, err := m.Diff(next)
	if err != nil {
		return 0, err
	}
	for _, v := range moves {
		if v.Expert != NoExpert && !m.Holds(int(v.Layer), int(v.Rank), v.Expert) {
			slots++
		}
	}
	return slots, nil
}

// Holds reports whether rank has a replica of expert in layer.
func (m ExpertMap) Holds(layer, rank int, expert uint16) bool {
	start := m.Index(layer, rank, 0)
	for _, e := range m.Places[start : start+m.Shape.Slots] {
		if e == expert {
			return true
		}
	}
	return false
}

// CheckFor reports why m is not a usable map of the group and shape.
func (m ExpertMap) CheckFor(group GroupName, shape MapShape) (err error) {
	if err := m.matches(group, shape); err != nil {
		return err
	}
	return m.Check()
}

// matches reports that m belongs to another group or has another shape.
func (m ExpertMap) matches(group GroupName, shape MapShape) (err error) {
	if m.Group != group {
		return errors.Newf("expert map %d is of group %q, want %q", m.ID, m.Group, group)
	}
	if m.Shape != shape {
		return errors.Newf("expert map %d has shape %+v, want %+v", m.ID, m.Shape, shape)
	}
	return nil
}
