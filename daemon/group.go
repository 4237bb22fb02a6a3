package daemon

import (
	"encoding/json"
	"net/http"

	"github.com/julienschmidt/httprouter"

	"github.com/banyanplank/banyanplank/coordination/rebalancer"
)

// registerGroupRoutes registers the operators' routes for the group of ranks that
// the daemon coordinates. A daemon that coordinates no group answers 404.
func (d *Daemon) registerGroupRoutes(router *httprouter.Router) {
	router.GET("/v1/group", d.serveGroup)
	router.GET("/v1/group/picture", d.servePicture)
	router.POST("/v1/group/rebalance", d.serveRebalance)
}

// groupStatus returns the status of the group that the daemon coordinates, and
// false if it coordinates none.
func (d *Daemon) groupStatus() (status rebalancer.Status, ok bool) {
	a, ok := d.role.(*agent)
	if !ok || a.experts == nil {
		return status, false
	}
	latest := a.experts.status.Load()
	if latest == nil {
		return status, false
	}
	return *latest, latest.IsCoordinator()
}

func (d *Daemon) serveGroup(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	status, ok := d.groupStatus()
	if !ok {
		http.Error(w, "this daemon coordinates no group", http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(status)
}

func (d *Daemon) servePicture(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	status, ok := d.groupStatus()
	if !ok {
		http.Error(w, "this daemon coordinates no group", http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "text/html; charset=utf-8")
	_ = rebalancer.WritePicture(w, status)
}

func (d *Daemon) serveRebalance(w http.ResponseWriter, request *http.Request, _ httprouter.Params) {
	a, ok := d.role.(*agent)
	if _, coordinates := d.groupStatus(); !ok || !coordinates {
		http.Error(w, "this daemon coordinates no group", http.StatusNotFound)
		return
	}
	loop := a.experts.loop.Load()
	if loop == nil || !loop.Send(request.Context(), rebalancer.RebalanceMsg{}) {
		http.Error(w, "the coordinator is stopping", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusAccepted)
}
