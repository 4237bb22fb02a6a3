package platform

import (
	"crypto/subtle"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/julienschmidt/httprouter"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/transport/storer"
)

// Handler returns the HTTP API of the platform, with the faults of this client:
//
//	GET    /v1/objects/NAME            value, with its version as ETag
//	PUT    /v1/objects/NAME            If-Match: "VERSION" or If-None-Match: *
//	DELETE /v1/objects/NAME            If-Match: "VERSION"
//	GET    /v1/list?prefix=P           storer.Listing
//	GET    /v1/watch?prefix=P&after=V&wait=T  storer.Listing, after a change
//	                                   or when T elapses
//	GET    /v1/instances               storer.Roster
//
// Errors are 401 for a wrong key, 404 for a missing object, 412 for a version
// conflict, 413 for a value that is too large, 428 for a write without a
// condition, and 503 if the platform is unavailable and nothing was written. If
// the reply of a write is lost, the handler aborts the connection.
func (p *Platform) Handler() (handler http.Handler) {
	router := httprouter.New()
	router.GET("/v1/objects/*name", p.requireKey(p.serveGet))
	router.PUT("/v1/objects/*name", p.requireKey(p.servePut))
	router.DELETE("/v1/objects/*name", p.requireKey(p.serveDelete))
	router.GET("/v1/list", p.requireKey(p.serveList))
	router.GET("/v1/watch", p.requireKey(p.serveWatch))
	router.GET("/v1/instances", p.requireKey(p.serveInstances))
	return router
}

// requireKey rejects calls without the bearer key, if one is set.
func (p *Platform) requireKey(next httprouter.Handle) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
		key := strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
		if p.bearerKey != "" && subtle.ConstantTimeCompare([]byte(key), []byte(p.bearerKey)) != 1 {
			http.Error(w, "wrong key", http.StatusUnauthorized)
			return
		}
		next(w, r, params)
	}
}

func (p *Platform) serveGet(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	object, err := p.Get(r.Context(), objectName(params))
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("ETag", storer.ETag(object.Version))
	_, _ = w.Write(object.Value)
}

func (p *Platform) servePut(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	expect, ok := expectedVersion(r)
	if !ok {
		http.Error(w, "header If-Match or If-None-Match is missing", http.StatusPreconditionRequired)
		return
	}
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, banyanplank.MaxValueBytes))
	if err != nil {
		writeBodyError(w, err)
		return
	}
	position, err := p.Put(r.Context(), objectName(params), value, expect)
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("ETag", storer.ETag(position.Revision))
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) serveDelete(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	expect, ok := expectedVersion(r)
	if !ok {
		http.Error(w, "header If-Match is missing", http.StatusPreconditionRequired)
		return
	}
	err := p.Delete(r.Context(), objectName(params), expect)
	if err != nil {
		writeError(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) serveList(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	objects, err := p.List(r.Context(), r.URL.Query().Get("prefix"))
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, storer.NewListing(objects))
}

func (p *Platform) serveWatch(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "query parameter after is not a version", http.StatusBadRequest)
		return
	}
	wait, err := time.ParseDuration(query.Get("wait"))
	if err != nil {
		http.Error(w, "query parameter wait is not a duration", http.StatusBadRequest)
		return
	}
	objects, err := p.watch(r.Context(), query.Get("prefix"), banyanplank.Position{Revision: banyanplank.Version(after)}, min(wait, p.watchTimeout))
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, storer.NewListing(objects))
}

func (p *Platform) serveInstances(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	instances, err := p.Instances(r.Context())
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, storer.InstanceListing{Instances: instances})
}

// objectName returns the object name from the path.
func objectName(params httprouter.Params) (name string) {
	return strings.TrimPrefix(params.ByName("name"), "/")
}

// expectedVersion returns the version that the write's condition requires: zero
// if the object must not exist.
func expectedVersion(r *http.Request) (expect banyanplank.Version, ok bool) {
	if r.Header.Get("If-None-Match") == "*" {
		return 0, true
	}
	expect, err := storer.ParseETag(r.Header.Get("If-Match"))
	return expect, err == nil
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

// writeBodyError writes the response for a request body that can't be read.
func writeBodyError(w http.ResponseWriter, err error) {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	http.Error(w, err.Error(), http.StatusBadRequest)
}

// writeError writes the response for err. It aborts the connection if the
// outcome of the call is uncertain.
func writeError(w http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, banyanplank.ErrUncertain):
		panic(http.ErrAbortHandler)
	case errors.Is(err, banyanplank.ErrNotFound):
		http.Error(w, err.Error(), http.StatusNotFound)
	case errors.Is(err, banyanplank.ErrConflict):
		http.Error(w, err.Error(), http.StatusPreconditionFailed)
	case errors.Is(err, banyanplank.ErrTooLarge):
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
	default:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	}
}
