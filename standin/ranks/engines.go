package ranks

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/julienschmidt/httprouter"

	"github.com/banyanplank/banyanplank"
)

// Engines simulates the engines of a group of ranks. It counts the tokens
// processed by each rank under its current map, and is safe for concurrent use.
type Engines struct {
	mutex       sync.Mutex
	group       *Group
	tokenCounts [][]uint64
	countedMaps []banyanplank.MapID
}

// NewEngines returns the engines of a group.
func NewEngines(group *Group) *Engines {
	return &Engines{
		group:       group,
		tokenCounts: make([][]uint64, len(group.ranks)),
		countedMaps: make([]banyanplank.MapID, len(group.ranks)),
	}
}

// Advance runs one step, see [Group.Advance]. The function tokens returns the
// number of tokens that a rank processes in this step under a map, by layer and
// slot.
func (e *Engines) Advance(tokens func(id banyanplank.MapID, rank int) []uint64) (ok bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if !e.group.Advance() {
		return false
	}
	for rank := range e.tokenCounts {
		id := e.group.ranks[rank].status.Map
		stepCounts := tokens(id, rank)
		if e.countedMaps[rank] != id || len(e.tokenCounts[rank]) != len(stepCounts) {
			e.countedMaps[rank], e.tokenCounts[rank] = id, make([]uint64, len(stepCounts))
		}
		for i, count := range stepCounts {
			e.tokenCounts[rank][i] += count
		}
	}
	return true
}

// Endpoint returns the engine of one rank. It supports orders and reports, but no
// requests.
func (e *Engines) Endpoint(rank int) banyanplank.Endpoint {
	return &engine{engines: e, rank: rank}
}

// engine is the engine of one rank.
type engine struct {
	engines *Engines
	rank    int
}

var errNoRequests = errors.New("simulated rank engines do not run requests")

// Run implements [banyanplank.Endpoint].
func (e *engine) Run(context.Context, *banyanplank.Request) (answer banyanplank.Answer, err error) {
	return nil, errNoRequests
}

// Cancel implements [banyanplank.Endpoint].
func (e *engine) Cancel(context.Context, banyanplank.AttemptID) (err error) { return errNoRequests }

// Report implements [banyanplank.Endpoint].
func (e *engine) Report(context.Context) (report banyanplank.EndpointReport, err error) {
	e.engines.mutex.Lock()
	defer e.engines.mutex.Unlock()
	status, up := e.engines.group.Status(e.rank)
	if !up {
		return report, errors.Newf("rank %d is down", e.rank)
	}
	status.Arrived = status.Step
	status.Counts = append([]uint64(nil), e.engines.tokenCounts[e.rank]...)
	return banyanplank.EndpointReport{Boot: status.Boot, Rank: &status}, nil
}

// Order implements [banyanplank.Endpoint].
func (e *engine) Order(_ context.Context, order banyanplank.Order) (err error) {
	e.engines.mutex.Lock()
	defer e.engines.mutex.Unlock()
	return e.engines.group.Order(e.rank, order)
}

// Handler returns the HTTP API of the engine of one rank. It supports only orders
// and reports.
func (e *Engines) Handler(rank int) (handler http.Handler) {
	endpoint := e.Endpoint(rank)
	router := httprouter.New()
	router.GET("/admin/report", func(w http.ResponseWriter, request *http.Request, _ httprouter.Params) {
		report, err := endpoint.Report(request.Context())
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(report)
	})
	router.POST("/admin/orders", func(w http.ResponseWriter, request *http.Request, _ httprouter.Params) {
		var order banyanplank.Order
		err := json.NewDecoder(request.Body).Decode(&order)
		if err == nil {
			err = endpoint.Order(request.Context(), order)
		}
		switch {
		case errors.Is(err, ErrOldFence):
			http.Error(w, err.Error(), http.StatusConflict)
		case err != nil:
			http.Error(w, err.Error(), http.StatusBadRequest)
		default:
			w.WriteHeader(http.StatusNoContent)
		}
	})
	return router
}
