package banyanplank

import (
	"strconv"

	"github.com/cockroachdb/errors"
)

// MapID identifies one [ExpertMap] of a group. An id is never used for two
// maps. Zero means that no map is known.
type MapID uint64

// NewMapID returns the id of the map with the given sequence number under a
// fencing number. Ids under a later fencing number are larger.
func NewMapID(fence uint64, sequence uint32) MapID {
	return MapID(fence<<mapSequenceBits | uint64(sequence))
}

// mapSequenceBits is the width of the sequence number in a [MapID], in bits.
const mapSequenceBits = 24

// String returns the id as a decimal number.
func (i MapID) String() string {
	return strconv.FormatUint(uint64(i), 10)
}

// NoExpert marks a slot that holds no expert.
const NoExpert = 0xFFFF

// The limits of a [MapShape].
const (
	maxRanks   = 4096
	maxLayers  = 1024
	maxExperts = 4096
	maxSlots   = 4096
)

// MapShape holds the dimensions of a group's expert maps.
type MapShape struct {
	Ranks   int
	Layers  int
	Experts int
	// Slots is the number of expert replicas that one rank holds in a layer.
	Slots int
}

// Check returns an error if no map can have the shape.
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
		return errors.Newf("%d ranks of %d slots are too few for %d experts", s.Ranks, s.Slots, s.Experts)
	}
	return nil
}

// SlotCount returns the number of slots in all layers and ranks.
func (s MapShape) SlotCount() int {
	return s.Layers * s.Ranks * s.Slots
}

// Shape returns the shape of the group's expert maps.
func (g GroupSpec) Shape() (shape MapShape) {
	return MapShape{Ranks: g.Ranks, Layers: g.Layers, Experts: g.Experts, Slots: g.Slots}
}

// SlotMove assigns an expert to one slot. Assigning [NoExpert] empties the
// slot, which transfers no weights.
type SlotMove struct {
	Layer  uint16
	Rank   uint16
	Slot   uint16
	Expert uint16
}

// ExpertMap is an expert placement: it assigns an expert to each slot of each
// rank in each layer. The tokens of an expert are spread evenly over the ranks
// that hold it. A value is immutable.
type ExpertMap struct {
	Group GroupName
	ID    MapID
	Shape MapShape
	// Placement holds the expert of each slot, by layer, rank and slot.
	Placement []uint16
}

// NewExpertMap returns the map that assigns the experts to the slots in order
// and fills the remaining slots with further replicas, from the first expert
// on. It returns an error if the shape is invalid.
func NewExpertMap(group GroupName, id MapID, shape MapShape) (m ExpertMap, err error) {
	if err := shape.Check(); err != nil {
		return ExpertMap{}, errors.Wrapf(err, "expert map of group %q", group)
	}
	m = ExpertMap{Group: group, ID: id, Shape: shape, Placement: make([]uint16, shape.SlotCount())}
	width := shape.Ranks * shape.Slots
	for i := range m.Placement {
		m.Placement[i] = initialExpertAt(i%width, shape)
	}
	return m, m.Check()
}

// initialExpertAt returns the expert at a position of a layer of a new map.
// Slots of a rank beyond the number of experts stay empty.
func initialExpertAt(position int, shape MapShape) (expert uint16) {
	rank, slot := position/shape.Slots, position%shape.Slots
	if slot >= shape.Experts {
		return NoExpert
	}
	return uint16((rank*shape.Slots + slot) % shape.Experts)
}

// Index returns the position of a slot in [ExpertMap.Placement].
func (m ExpertMap) Index(layer, rank, slot int) (index int) {
	return (layer*m.Shape.Ranks+rank)*m.Shape.Slots + slot
}

// Layer returns the experts of one layer, by rank and slot. The caller must
// not modify the slice.
func (m ExpertMap) Layer(layer int) (experts []uint16) {
	width := m.Shape.Ranks * m.Shape.Slots
	return m.Placement[layer*width : (layer+1)*width]
}

// Check returns an error if the map is unusable: each expert must have a slot
// in each layer, and no rank may hold an expert twice in a layer.
func (m ExpertMap) Check() (err error) {
	defer func() { err = errors.Wrapf(err, "expert map %d of group %q", m.ID, m.Group) }()
	if err := m.Shape.Check(); err != nil {
		return err
	}
	if len(m.Placement) != m.Shape.SlotCount() {
		return errors.Newf("%d slots in the map, want %d", len(m.Placement), m.Shape.SlotCount())
	}
	for layer := range m.Shape.Layers {
		if err := m.checkLayer(layer); err != nil {
			return err
		}
	}
	return nil
}

func (m ExpertMap) checkLayer(layer int) (err error) {
	lastRank := make([]int, m.Shape.Experts)
	for i, expert := range m.Layer(layer) {
		if expert == NoExpert {
			continue
		}
		rank := i / m.Shape.Slots
		if int(expert) >= m.Shape.Experts {
			return errors.Newf("layer %d rank %d: expert %d does not exist among %d experts", layer, rank, expert, m.Shape.Experts)
		}
		if lastRank[expert] == rank+1 {
			return errors.Newf("layer %d rank %d holds expert %d twice", layer, rank, expert)
		}
		lastRank[expert] = rank + 1
	}
	for expert, rank := range lastRank {
		if rank == 0 {
			return errors.Newf("layer %d: expert %d has no place", layer, expert)
		}
	}
	return nil
}

// Diff returns the moves that turn m into next, by layer, rank and slot. It
// returns an error if next is of another group or shape.
func (m ExpertMap) Diff(next ExpertMap) (moves []SlotMove, err error) {
	if err := m.checkGroupAndShape(next.Group, next.Shape); err != nil {
		return nil, err
	}
	for i, expert := range next.Placement {
		if m.Placement[i] == expert {
			continue
		}
		rankIndex := i / m.Shape.Slots
		moves = append(moves, SlotMove{
			Layer:  uint16(rankIndex / m.Shape.Ranks),
			Rank:   uint16(rankIndex % m.Shape.Ranks),
			Slot:   uint16(i % m.Shape.Slots),
			Expert: expert,
		})
	}
	return moves, nil
}

// Apply returns the map that results from applying the moves to m. It returns
// an error if a move is out of range or the result fails [ExpertMap.Check].
func (m ExpertMap) Apply(id MapID, moves []SlotMove) (next ExpertMap, err error) {
	next = ExpertMap{Group: m.Group, ID: id, Shape: m.Shape, Placement: make([]uint16, len(m.Placement))}
	copy(next.Placement, m.Placement)
	for _, move := range moves {
		if int(move.Layer) >= m.Shape.Layers || int(move.Rank) >= m.Shape.Ranks || int(move.Slot) >= m.Shape.Slots {
			return ExpertMap{}, errors.Newf("move outside of map %d: layer %d rank %d slot %d", m.ID, move.Layer, move.Rank, move.Slot)
		}
		next.Placement[m.Index(int(move.Layer), int(move.Rank), int(move.Slot))] = move.Expert
	}
	return next, next.Check()
}

// CountLoads returns the number of slots of next whose weights the rank of the slot
// does not hold in m and must load.
func (m ExpertMap) CountLoads(next ExpertMap) (slots int, err error) {
	moves, err := m.Diff(next)
	if err != nil {
		return 0, err
	}
	for _, move := range moves {
		if move.Expert != NoExpert && !m.HasExpert(int(move.Layer), int(move.Rank), move.Expert) {
			slots++
		}
	}
	return slots, nil
}

// HasExpert reports whether rank holds a replica of expert in layer.
func (m ExpertMap) HasExpert(layer, rank int, expert uint16) bool {
	start := m.Index(layer, rank, 0)
	for _, e := range m.Placement[start : start+m.Shape.Slots] {
		if e == expert {
			return true
		}
	}
	return false
}

// CheckFor returns an error if m is not a usable map of the group and shape.
func (m ExpertMap) CheckFor(group GroupName, shape MapShape) (err error) {
	if err := m.checkGroupAndShape(group, shape); err != nil {
		return err
	}
	return m.Check()
}

// checkGroupAndShape returns an error if m belongs to another group or has
// another shape.
func (m ExpertMap) checkGroupAndShape(group GroupName, shape MapShape) (err error) {
	if m.Group != group {
		return errors.Newf("expert map %d is of group %q, want %q", m.ID, m.Group, group)
	}
	if m.Shape != shape {
		return errors.Newf("expert map %d has shape %+v, want %+v", m.ID, m.Shape, shape)
	}
	return nil
}
