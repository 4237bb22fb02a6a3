package daemon

import (
	"math/rand/v2"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/coordination/admitter"
	"github.com/banyanplank/banyanplank/coordination/picker"
	"github.com/banyanplank/banyanplank/coordination/suspecter"
	"github.com/banyanplank/banyanplank/state/loader"
)

// newPicker returns the picker of an entry. Its samples differ from those of
// all other entries and of its own earlier runs.
func newPicker(settings loader.Settings, member banyanplank.Member) banyanplank.Picker {
	random := rand.New(rand.NewPCG(uint64(member.Incarnation), rand.Uint64()))
	return picker.New(settings.Name, random, picker.WithZone(settings.Zone))
}

// newGuard returns the admitter of an agent behind the guard that watches its
// endpoint.
func newGuard(settings loader.Settings, member banyanplank.Member, endpoint banyanplank.Endpoint) *suspecter.Guard {
	admits := admitter.New(settings.Name, member.Incarnation,
		admitter.WithZone(settings.Zone),
		admitter.WithService(settings.Endpoint.Service),
		admitter.WithCapacity(settings.Endpoint.Capacity),
		admitter.WithCeiling(settings.Endpoint.Capacity),
	)
	return suspecter.NewGuard(settings.Name, admits, endpoint)
}
