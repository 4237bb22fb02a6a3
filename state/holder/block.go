package holder

import "encoding/binary"

// The size of a block, whichever is reached first.
const (
	blockParts = 64
	blockBytes = 4096
	firstBytes = 512
)

// block holds consecutive parts. The first one is written whole and each other
// one as its difference from the part before it: the lengths of the prefix and
// the suffix that both share, and the bytes between. The framing that every
// event of an answer repeats so takes a few bytes.
type block struct {
	// first is the offset of the first part.
	first uint64
	parts int
	data  []byte
}

// full reports whether the next part belongs in a new block.
func (b *block) full() bool {
	return b.parts >= blockParts || len(b.data) >= blockBytes
}

// lengthBytes bounds what the three lengths of a difference take.
const lengthBytes = 3 * binary.MaxVarintLen32

// difference is a part as it differs from the one before it.
type difference struct {
	prefix int
	suffix int
	middle []byte
}

// compare returns how part differs from last.
func compare(last, part []byte) (d difference) {
	d.prefix = sharedPrefix(last, part)
	d.suffix = sharedSuffix(last[d.prefix:], part[d.prefix:])
	d.middle = part[d.prefix : len(part)-d.suffix]
	return d
}

// size bounds the bytes that the difference takes in a block.
func (d difference) size() (bytes int) {
	return lengthBytes + len(d.middle)
}

// appendTo adds the difference to data.
func (d difference) appendTo(data []byte) []byte {
	data = binary.AppendUvarint(data, uint64(d.prefix))
	data = binary.AppendUvarint(data, uint64(d.suffix))
	data = binary.AppendUvarint(data, uint64(len(d.middle)))
	return append(data, d.middle...)
}

// decode reads one part from data, which follows last. It returns a new slice.
func decode(data, last []byte) (part, rest []byte) {
	prefix, n := binary.Uvarint(data)
	data = data[n:]
	suffix, n := binary.Uvarint(data)
	data = data[n:]
	length, n := binary.Uvarint(data)
	data = data[n:]
	part = make([]byte, 0, prefix+length+suffix)
	part = append(part, last[:prefix]...)
	part = append(part, data[:length]...)
	part = append(part, last[uint64(len(last))-suffix:]...)
	return part, data[length:]
}

// sharedPrefix returns the length of the longest common prefix.
func sharedPrefix(a, b []byte) (length int) {
	limit := min(len(a), len(b))
	for length < limit && a[length] == b[length] {
		length++
	}
	return length
}

// sharedSuffix returns the length of the longest common suffix.
func sharedSuffix(a, b []byte) (length int) {
	limit := min(len(a), len(b))
	for length < limit && a[len(a)-1-length] == b[len(b)-1-length] {
		length++
	}
	return length
}
