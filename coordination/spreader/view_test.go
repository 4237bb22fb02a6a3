package spreader_test

import (
	"fmt"
	"slices"
	"time"

	"github.com/banyanplank/banyanplank"
)

// zoned returns a configuration with the given zones out.
func zoned(zones int, out ...int) (c *banyanplank.Configuration) {
	c = &banyanplank.Configuration{}
	for i := range zones {
		c.Zones = append(c.Zones, banyanplank.ZoneSpec{
			Name: banyanplank.Zone(fmt.Sprintf("zone-%d", i)), Region: "r", Out: slices.Contains(out, i)})
	}
	return c
}

// revision returns what the daemon has in force.
func (d *daemon) revision() banyanplank.Revision {
	if c := d.model.Snapshot().Configuration; c != nil {
		return c.Revision
	}
	return 0
}

// inForce counts the daemons that live and have the newest revision.
func (f *fleet) inForce() (count int) {
	for _, d := range f.daemons {
		if !d.dead && d.revision() == f.root.Revision {
			count++
		}
	}
	return count
}

// serving counts the daemons that take new work.
func (f *fleet) serving() (count int) {
	for _, d := range f.daemons {
		if !d.dead && d.model.Snapshot().Serves(f.now) {
			count++
		}
	}
	return count
}

// untilInForce advances until all daemons have the newest revision and returns
// the time that it took, at most limit.
func (f *fleet) untilInForce(limit time.Duration) (took time.Duration) {
	began := f.now
	for f.inForce() < len(f.daemons) && f.now.Sub(began) < limit {
		f.advance(50 * time.Millisecond)
	}
	return f.now.Sub(began)
}
