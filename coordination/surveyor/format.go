package surveyor

import (
	"fmt"
	"time"

	"github.com/banyanplank/banyanplank"
)

// formatTable summarizes a routing table for a log line.
func formatTable(t *banyanplank.RoutingTable) (text string) {
	return fmt.Sprintf("version %d, %d routes, %d services, %d keys", t.Version, len(t.Routes), len(t.Pools), len(t.Accounts))
}

// formatBackend summarizes an endpoint for a log line.
func formatBackend(b banyanplank.Backend) (text string) {
	state := "ready"
	if b.Leaving {
		state = "leaving"
	}
	return fmt.Sprintf("%s %s at %s in %s, cold for %s, born %s", b.Service, state, b.Address, b.Zone, b.ColdStartLeft, b.Born.UTC().Format(time.RFC3339Nano))
}
