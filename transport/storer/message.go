package storer

import (
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/banyanplank/banyanplank"
)

// Listing is the JSON body of the reply to a list or a watch.
type Listing struct {
	Objects []ListedObject `json:"objects"`
}

// ListedObject is one object in a [Listing]. JSON encodes its value in base64.
type ListedObject struct {
	Name    string              `json:"name"`
	Version banyanplank.Version `json:"version"`
	Value   []byte              `json:"value"`
}

// InstanceListing is the JSON body of the reply with the instances.
type InstanceListing struct {
	Instances []banyanplank.Instance `json:"instances"`
}

// NewListing returns a listing of objects.
func NewListing(objects []banyanplank.Object) (listing Listing) {
	listing.Objects = make([]ListedObject, 0, len(objects))
	for _, o := range objects {
		listing.Objects = append(listing.Objects, ListedObject{Name: o.Name, Version: o.Version, Value: o.Value})
	}
	return listing
}

func (l Listing) objects() (objects []banyanplank.Object) {
	for _, o := range l.Objects {
		objects = append(objects, banyanplank.Object{Name: o.Name, Version: o.Version, Value: o.Value})
	}
	return objects
}

// ETag returns the entity tag of a version: the number in double quotes.
func ETag(version banyanplank.Version) (tag string) {
	return strconv.Quote(strconv.FormatUint(uint64(version), 10))
}

// ParseETag parses an entity tag from [ETag]. It returns an error if the version is
// zero or not a number.
func ParseETag(tag string) (version banyanplank.Version, err error) {
	number, err := strconv.ParseUint(strings.Trim(tag, `"`), 10, 64)
	if err != nil || number == 0 {
		return 0, errors.Newf("entity tag %q is not a version", tag)
	}
	return banyanplank.Version(number), nil
}
