package daemon

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/julienschmidt/httprouter"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/transport/receiver"
)

// Status is the answer of GET /v1/status.
type Status struct {
	Name     banyanplank.DaemonID `json:"name"`
	Role     banyanplank.Role     `json:"role"`
	Zone     banyanplank.Zone     `json:"zone"`
	Revision banyanplank.Revision `json:"revision"`
	Ready    bool                 `json:"ready"`
	// SyncStatus is the [spreader.Status] of the daemon: whether its revision
	// is confirmed as current, and if not, why.
	SyncStatus string         `json:"news"`
	Running    int            `json:"running"`
	Zones      []ZoneStatus   `json:"zones"`
	Members    []MemberStatus `json:"members"`
}

// ZoneStatus is one availability zone in a [Status].
type ZoneStatus struct {
	Name banyanplank.Zone `json:"name"`
	Out  bool             `json:"out"`
}

// MemberStatus is one daemon in a [Status].
type MemberStatus struct {
	Name    banyanplank.DaemonID    `json:"name"`
	Role    banyanplank.Role        `json:"role"`
	Zone    banyanplank.Zone        `json:"zone"`
	State   string                  `json:"state"`
	Service banyanplank.ServiceName `json:"service,omitempty"`
}

// serveAdmin serves the operators' HTTP API until ctx is canceled.
func (d *Daemon) serveAdmin(ctx context.Context) (err error) {
	return serveHTTP(ctx, receiver.NewServer(d.adminRoutes()), d.settings.Listen.Admin)
}

func (d *Daemon) adminRoutes() (router *httprouter.Router) {
	router = httprouter.New()
	router.GET("/healthz", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		w.WriteHeader(http.StatusOK)
	})
	router.GET("/readyz", d.serveReady)
	router.GET("/metrics", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		metrics.WritePrometheus(w, true)
	})
	router.GET("/v1/status", d.serveStatus)
	router.GET("/v1/tally", d.serveTally)
	d.registerGroupRoutes(router)
	return router
}

func (d *Daemon) serveReady(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	if !d.role.isReady() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (d *Daemon) serveStatus(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(d.status())
}

// status returns the answer of GET /v1/status.
func (d *Daemon) status() (status Status) {
	configuration := d.keeper.View().Configuration
	status = Status{
		Name:       d.settings.Name,
		Role:       d.settings.Role,
		Zone:       d.settings.Zone,
		Revision:   configuration.Revision,
		Ready:      d.role.isReady(),
		SyncStatus: string(d.spreader.Snapshot().Status(time.Now())),
		Running:    d.role.inFlight(),
	}
	for _, z := range configuration.Zones {
		status.Zones = append(status.Zones, ZoneStatus{Name: z.Name, Out: z.Out})
	}
	for _, m := range d.members() {
		status.Members = append(status.Members, MemberStatus{
			Name: m.ID, Role: m.Role, Zone: m.Zone, State: m.State.String(), Service: m.Service,
		})
	}
	return status
}
