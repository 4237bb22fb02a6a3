package declarer

import "github.com/banyanplank/banyanplank"

// ZoneOption configures an availability zone.
type ZoneOption func(*banyanplank.ZoneSpec)

// WithZone declares an availability zone. Use it once for each zone that has
// instances: a zone that is not declared gets no work. The default is in
// service.
func WithZone(name banyanplank.Zone, region banyanplank.Region, options ...ZoneOption) Option {
	spec := banyanplank.ZoneSpec{Name: name, Region: region}
	for _, option := range options {
		option(&spec)
	}
	return func(d *Declaration) {
		d.configuration.Zones = append(d.configuration.Zones, spec)
	}
}

// WithOut takes the zone out of service. Use it for a lasting exit; the
// command "banyanplank zone out" serves a short one. The default is in service.
func WithOut() ZoneOption {
	return func(z *banyanplank.ZoneSpec) { z.Out = true }
}
