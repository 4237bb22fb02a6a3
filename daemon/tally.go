package daemon

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/coordination/flusher"
)

// serveTally answers GET /v1/tally with the tally of this daemon.
func (d *Daemon) serveTally(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(d.tallier.Snapshot(time.Now()))
}

// storeTallies stores an entry's tally in the object API until ctx is canceled.
func (d *Daemon) storeTallies(ctx context.Context) (err error) {
	if d.settings.Role != banyanplank.RoleEntry {
		return nil
	}
	f := flusher.New(d.store, d.settings.Name, d.tallier,
		flusher.WithFleet(d.tallyFleet),
		flusher.WithErrorHandler(func(err error) { d.logger.Warn().Err(err).Msg("tally_failed") }),
	)
	f.Run(ctx)
	return nil
}

// tallyFleet counts the live entries, which all store tallies. The entry with the
// lowest name sweeps.
func (d *Daemon) tallyFleet() (fleet flusher.Fleet) {
	fleet = flusher.Fleet{Entries: 1, IsSweeper: true}
	for _, m := range d.members() {
		if m.Role != banyanplank.RoleEntry || m.State != banyanplank.MemberLive || m.ID == d.settings.Name {
			continue
		}
		fleet.Entries++
		fleet.IsSweeper = fleet.IsSweeper && d.settings.Name < m.ID
	}
	return fleet
}
