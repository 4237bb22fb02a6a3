package orderer

import (
	"github.com/cockroachdb/errors"

	"github.com/banyanplank/banyanplank"
)

// maxOneByteExperts is the largest number of experts whose indexes fit one byte
// each.
const maxOneByteExperts = 256

func encodeShape(s banyanplank.MapShape) (message *Shape) {
	return &Shape{
		Ranks:   uint32(s.Ranks),
		Layers:  uint32(s.Layers),
		Experts: uint32(s.Experts),
		Slots:   uint32(s.Slots),
	}
}

// decodeShape returns an error if no map can have the shape.
func decodeShape(message *Shape) (shape banyanplank.MapShape, err error) {
	shape = banyanplank.MapShape{
		Ranks:   int(message.GetRanks()),
		Layers:  int(message.GetLayers()),
		Experts: int(message.GetExperts()),
		Slots:   int(message.GetSlots()),
	}
	return shape, shape.Check()
}

// EncodeChange returns the message for next as the slots that differ from base. It
// returns an error if next is of another group or shape.
func EncodeChange(base, next banyanplank.ExpertMap) (message *Change, err error) {
	moves, err := base.Diff(next)
	if err != nil {
		return nil, err
	}
	message = &Change{
		Group: string(next.Group),
		Map:   uint64(next.ID),
		Base:  uint64(base.ID),
		Shape: encodeShape(next.Shape),
	}
	previous := -1
	for _, move := range moves {
		index := next.Index(int(move.Layer), int(move.Rank), int(move.Slot))
		message.Gaps = append(message.Gaps, uint32(index-previous))
		message.Experts = append(message.Experts, uint32(move.Expert+1))
		previous = index
	}
	return message, nil
}

// DecodeChange returns the map that results from applying the change in a message to
// base. It returns an error if base is not the map that the message names or the
// change is not valid.
func DecodeChange(message *Change, base banyanplank.ExpertMap) (next banyanplank.ExpertMap, err error) {
	defer func() { err = errors.Wrapf(err, "change to map %d of group %q", message.GetMap(), message.GetGroup()) }()
	shape, err := decodeShape(message.GetShape())
	if err != nil {
		return banyanplank.ExpertMap{}, err
	}
	if err := base.CheckFor(banyanplank.GroupName(message.Group), shape); err != nil {
		return banyanplank.ExpertMap{}, err
	}
	if base.ID != banyanplank.MapID(message.Base) {
		return banyanplank.ExpertMap{}, errors.Newf("starts from map %d, have %d", message.Base, base.ID)
	}
	moves, err := decodeMoves(message, shape)
	if err != nil {
		return banyanplank.ExpertMap{}, err
	}
	return base.Apply(banyanplank.MapID(message.Map), moves)
}

// CheckChange returns an error if a change is not a valid one to the map id of the
// group and shape.
func CheckChange(message *Change, id banyanplank.MapID, group banyanplank.GroupName, shape banyanplank.MapShape) (err error) {
	defer func() { err = errors.Wrapf(err, "change to map %d of group %q", message.GetMap(), message.GetGroup()) }()
	if banyanplank.GroupName(message.GetGroup()) != group {
		return errors.Newf("want group %q", group)
	}
	if banyanplank.MapID(message.GetMap()) != id {
		return errors.Newf("order is for map %d", id)
	}
	got, err := decodeShape(message.GetShape())
	if err != nil {
		return err
	}
	if got != shape {
		return errors.Newf("shape %+v, want %+v", got, shape)
	}
	_, err = decodeMoves(message, shape)
	return err
}

// decodeMoves returns the moves in a change. Its experts are stored plus one, with
// zero for none.
func decodeMoves(message *Change, shape banyanplank.MapShape) (moves []banyanplank.SlotMove, err error) {
	if len(message.Gaps) != len(message.Experts) {
		return nil, errors.Newf("%d changed slots but %d experts", len(message.Gaps), len(message.Experts))
	}
	slots, err := decodeGaps(message.Gaps, shape.SlotCount())
	if err != nil {
		return nil, err
	}
	for i, index := range slots {
		if message.Experts[i] > uint32(shape.Experts) {
			return nil, errors.Newf("expert %d, want less than %d", message.Experts[i]-1, shape.Experts)
		}
		row := index / shape.Slots
		moves = append(moves, banyanplank.SlotMove{
			Layer:  uint16(row / shape.Ranks),
			Rank:   uint16(row % shape.Ranks),
			Slot:   uint16(index % shape.Slots),
			Expert: uint16(message.Experts[i]) - 1,
		})
	}
	return moves, nil
}

// decodeGaps returns the indexes of slots from the distances between them. The
// first distance counts from -1.
func decodeGaps(gaps []uint32, slotCount int) (slots []int, err error) {
	previous := -1
	for _, gap := range gaps {
		if gap == 0 || int64(previous)+int64(gap) >= int64(slotCount) {
			return nil, errors.Newf("slot %d after slot %d, want ascending slots less than %d", int64(previous)+int64(gap), previous, slotCount)
		}
		previous += int(gap)
		slots = append(slots, previous)
	}
	return slots, nil
}

// EncodeMap returns the message for a complete map.
func EncodeMap(m banyanplank.ExpertMap) (message *Map) {
	message = &Map{Group: string(m.Group), Map: uint64(m.ID), Shape: encodeShape(m.Shape)}
	previous := -1
	for i, expert := range m.Placement {
		if expert == banyanplank.NoExpert {
			message.Empty = append(message.Empty, uint32(i-previous))
			previous = i
			expert = 0
		}
		message.Places = append(message.Places, byte(expert))
		if m.Shape.Experts > maxOneByteExperts {
			message.Places = append(message.Places, byte(expert>>8))
		}
	}
	return message
}

// DecodeMap returns the map in a message. It returns an error if the map is not valid.
func DecodeMap(message *Map) (m banyanplank.ExpertMap, err error) {
	defer func() { err = errors.Wrapf(err, "map %d of group %q", message.GetMap(), message.GetGroup()) }()
	shape, err := decodeShape(message.GetShape())
	if err != nil {
		return banyanplank.ExpertMap{}, err
	}
	width := 1
	if shape.Experts > maxOneByteExperts {
		width = 2
	}
	if len(message.Places) != width*shape.SlotCount() {
		return banyanplank.ExpertMap{}, errors.Newf("%d bytes of expert placement, want %d", len(message.Places), width*shape.SlotCount())
	}
	empty, err := decodeGaps(message.Empty, shape.SlotCount())
	if err != nil {
		return banyanplank.ExpertMap{}, err
	}
	m = banyanplank.ExpertMap{
		Group:     banyanplank.GroupName(message.Group),
		ID:        banyanplank.MapID(message.Map),
		Shape:     shape,
		Placement: make([]uint16, shape.SlotCount()),
	}
	for i := range m.Placement {
		m.Placement[i] = uint16(message.Places[i*width])
		if width == 2 {
			m.Placement[i] |= uint16(message.Places[i*width+1]) << 8
		}
	}
	for _, i := range empty {
		m.Placement[i] = banyanplank.NoExpert
	}
	return m, m.Check()
}
