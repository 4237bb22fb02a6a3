package holder

import "encoding/binary"

// The sizes of blocks.
const (
	// A block is full when it reaches maxBlockParts parts or maxBlockBytes bytes.
	maxBlockParts = 64
	maxBlockBytes = 4096
	// initialBlockBytes is the minimum capacity of a new block.
	initialBlockBytes = 512
)

// block holds consecutive parts, delta-encoded. The first part is stored in full
// and each later one as the lengths of the prefix and the suffix that it shares
// with the part before it, and the bytes between. The framing repeated by every
// event of a streamed response thus takes a few bytes.
type block struct {
	// firstOffset is the offset of the first part in the stream.
	firstOffset uint64
	partCount   int
	data        []byte
}

// isFull reports whether the next part must start a new block.
func (b *block) isFull() bool {
	return b.partCount >= maxBlockParts || len(b.data) >= maxBlockBytes
}

// maxLengthsBytes bounds the encoded size of the three lengths of a delta.
const maxLengthsBytes = 3 * binary.MaxVarintLen32

// delta is the difference between a part and the one before it.
type delta struct {
	prefix int
	suffix int
	middle []byte
}

// newDelta returns the difference between previous and part.
func newDelta(previous, part []byte) (d delta) {
	d.prefix = commonPrefixLength(previous, part)
	d.suffix = commonSuffixLength(previous[d.prefix:], part[d.prefix:])
	d.middle = part[d.prefix : len(part)-d.suffix]
	return d
}

// maxSize returns an upper bound of the encoded size in bytes.
func (d delta) maxSize() (bytes int) {
	return maxLengthsBytes + len(d.middle)
}

// appendTo appends the encoded delta to data.
func (d delta) appendTo(data []byte) []byte {
	data = binary.AppendUvarint(data, uint64(d.prefix))
	data = binary.AppendUvarint(data, uint64(d.suffix))
	data = binary.AppendUvarint(data, uint64(len(d.middle)))
	return append(data, d.middle...)
}

// decodePart decodes the first part in data, given the part before it. The part
// is a new slice; rest is the data after it.
func decodePart(data, previous []byte) (part, rest []byte) {
	prefix, n := binary.Uvarint(data)
	data = data[n:]
	suffix, n := binary.Uvarint(data)
	data = data[n:]
	length, n := binary.Uvarint(data)
	data = data[n:]
	part = make([]byte, 0, prefix+length+suffix)
	part = append(part, previous[:prefix]...)
	part = append(part, data[:length]...)
	part = append(part, previous[uint64(len(previous))-suffix:]...)
	return part, data[length:]
}

func commonPrefixLength(a, b []byte) (length int) {
	limit := min(len(a), len(b))
	for length < limit && a[length] == b[length] {
		length++
	}
	return length
}

func commonSuffixLength(a, b []byte) (length int) {
	limit := min(len(a), len(b))
	for length < limit && a[len(a)-1-length] == b[len(b)-1-length] {
		length++
	}
	return length
}
