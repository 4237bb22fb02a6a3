package declarer

import "github.com/banyanplank/banyanplank"

// ZoneOption configures an availability zone.
type ZoneOption func(*banyanplank.ZoneSpec)

// WithZone declares an availability zone. Use it once for each zone that has
// instances: a zone that is not declared gets no work. Without options the zone is
// in service.
func WithZone(name banyanplank.Zone, region banyanplank.Region, options ...ZoneOption) Option {
	spec := banyanplank.ZoneSpec{Name: name, Region: region}
	for _, option := range options {
		option(&spec)
	}
	return func(d *Declaration) {
		d.configuration.Zones = append(d.configuration.Zones, spec)
	}
}

// WithOut takes the zone out of service. Use it to take a zone out permanently; for
// a short time, use the command "banyanplank zone out". The default is in service.
func WithOut() ZoneOption {
	return func(z *banyanplank.ZoneSpec) { z.Out = true }
}
