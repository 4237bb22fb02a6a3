package promiser

import (
	"encoding/binary"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanplank/banyanplank"
)

// The encoding of a summary: the number of services, each service's name after its length,
// and 13 bytes per promise. A summary for one service with a name of 16 bytes has at most
// 642 bytes.
const (
	// promisedBytes is the size of a promise: the index of its service with usedFlag (1
	// byte), the key (8), After (2) and Age (2), both in ms.
	promisedBytes = 13
	// usedFlag marks a used promise. The index of a service takes the bits below it.
	usedFlag = 0x80
	// maxNameBytes bounds the names of services.
	maxNameBytes = 128
)

// MaxEncodedBytes is the maximum size of an encoded summary, which has 48 services with names
// of 128 bytes.
const MaxEncodedBytes = 1 + maxSummary*(1+maxNameBytes+promisedBytes)

// EncodePromised encodes a summary for heartbeats: 13 bytes per promise, and once per service
// the length of its name and one byte. It returns nil for an empty summary. Times are rounded
// down to 1 ms. It fails if there are more than 48 promises, or if the name of a service has
// more than 128 bytes or is empty, or if a time is outside its range.
func EncodePromised(promised []Promised) (data []byte, err error) {
	defer func() { err = errors.Wrap(err, "encode promises") }()
	if len(promised) == 0 {
		return nil, nil
	}
	if len(promised) > maxSummary {
		return nil, errors.Newf("%d promises exceed the limit of %d", len(promised), maxSummary)
	}
	indexes := map[banyanplank.ServiceName]byte{}
	data = []byte{0}
	for _, p := range promised {
		if _, ok := indexes[p.Service]; ok {
			continue
		}
		if len(p.Service) == 0 || len(p.Service) > maxNameBytes {
			return nil, errors.Newf("service name of %d bytes, need 1 to %d", len(p.Service), maxNameBytes)
		}
		indexes[p.Service] = byte(len(indexes))
		data = append(data, byte(len(p.Service)))
		data = append(data, p.Service...)
	}
	data[0] = byte(len(indexes))
	for _, p := range promised {
		if err = p.check(); err != nil {
			return nil, err
		}
		head := indexes[p.Service]
		if p.Used {
			head |= usedFlag
		}
		data = append(data, head)
		data = binary.BigEndian.AppendUint64(data, p.Key)
		data = binary.BigEndian.AppendUint16(data, uint16(p.After/time.Millisecond))
		data = binary.BigEndian.AppendUint16(data, uint16(p.Age/time.Millisecond))
	}
	return data, nil
}

// DecodePromised reverses [EncodePromised]. It fails if the data is cut off, has bytes left
// over, has more than 48 services or promises, names a service that is missing, or holds a
// time outside its range.
func DecodePromised(data []byte) (promised []Promised, err error) {
	defer func() { err = errors.Wrap(err, "decode promises") }()
	if len(data) == 0 {
		return nil, nil
	}
	count, rest := int(data[0]), data[1:]
	if count == 0 || count > maxSummary {
		return nil, errors.Newf("%d services, need 1 to %d", count, maxSummary)
	}
	services := make([]banyanplank.ServiceName, count)
	for i := range services {
		if len(rest) == 0 || rest[0] == 0 || rest[0] > maxNameBytes || len(rest) <= int(rest[0]) {
			return nil, errors.Newf("name of service %d is empty, too long or cut off", i)
		}
		services[i] = banyanplank.ServiceName(rest[1 : 1+rest[0]])
		rest = rest[1+rest[0]:]
	}
	if len(rest) == 0 || len(rest)%promisedBytes != 0 || len(rest) > maxSummary*promisedBytes {
		return nil, errors.Newf("%d bytes of promises, need 1 to %d times %d", len(rest), maxSummary, promisedBytes)
	}
	promised = make([]Promised, 0, len(rest)/promisedBytes)
	for ; len(rest) > 0; rest = rest[promisedBytes:] {
		index := int(rest[0] &^ usedFlag)
		if index >= count {
			return nil, errors.Newf("service %d of %d", index, count)
		}
		p := Promised{
			Service: services[index],
			Key:     binary.BigEndian.Uint64(rest[1:]),
			After:   time.Duration(binary.BigEndian.Uint16(rest[9:])) * time.Millisecond,
			Age:     time.Duration(binary.BigEndian.Uint16(rest[11:])) * time.Millisecond,
			Used:    rest[0]&usedFlag != 0,
		}
		if err = p.check(); err != nil {
			return nil, err
		}
		promised = append(promised, p)
	}
	return promised, nil
}

// check returns an error if a time is outside its range.
func (p Promised) check() (err error) {
	if p.After < minAfter || p.After > maxAfter {
		return errors.Newf("return time of %v, need %v to %v", p.After, minAfter, maxAfter)
	}
	if p.Age < 0 || p.Age > maxAfter+maxLate {
		return errors.Newf("age of %v, need 0s to %v", p.Age, maxAfter+maxLate)
	}
	return nil
}
