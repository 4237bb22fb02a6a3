package receiver

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/julienschmidt/httprouter"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/coordination/forwarder"
)

// Entry is an element of [Entries].
type Entry struct {
	Address string           `json:"address"`
	Zone    banyanplank.Zone `json:"zone"`
}

// Entries is the response to GET /v1/entries.
type Entries struct {
	Entries []Entry `json:"entries"`
	// Keep is how long the response may be used, in seconds.
	Keep float64 `json:"keep"`
}

// serveEntries returns the entries that the caller should use.
func (r *Receiver) serveEntries(w http.ResponseWriter, request *http.Request, _ httprouter.Params) {
	account, err := r.authenticate(request)
	if err != nil {
		writeRefusal(w, err)
		return
	}
	host, _, err := net.SplitHostPort(request.RemoteAddr)
	if err != nil {
		host = request.RemoteAddr // a listener other than TCP
	}
	members, ttl := r.advertiser.Advertise(string(account.Name) + "/" + host)
	answer := Entries{Entries: make([]Entry, 0, len(members)), Keep: ttl.Seconds()}
	for _, m := range members {
		answer.Entries = append(answer.Entries, Entry{Address: m.CallerAddress.String(), Zone: m.Zone})
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", fmt.Sprintf("private, max-age=%d", int(ttl.Seconds())))
	_ = json.NewEncoder(w).Encode(answer)
}

// serveModel serves chat and completion calls.
func (r *Receiver) serveModel(w http.ResponseWriter, incoming *http.Request, _ httprouter.Params) {
	r.serveCall(w, incoming, func(request *banyanplank.Request) (err error) {
		if err := parseModel(request); err != nil {
			return err
		}
		request.Path = incoming.URL.Path
		return r.checkService(request, banyanplank.ServiceModel)
	})
}

// servePlain serves calls to application services.
func (r *Receiver) servePlain(w http.ResponseWriter, incoming *http.Request, params httprouter.Params) {
	r.serveCall(w, incoming, func(request *banyanplank.Request) (err error) {
		request.Service = banyanplank.ServiceName(params.ByName("service"))
		request.Path = params.ByName("path")
		if incoming.URL.RawQuery != "" {
			request.Path += "?" + incoming.URL.RawQuery
		}
		return r.checkService(request, banyanplank.ServicePlain)
	})
}

// checkService looks up the service and sets whether the call may be repeated.
func (r *Receiver) checkService(request *banyanplank.Request, kind banyanplank.ServiceKind) (err error) {
	spec, ok := r.keeper.View().Service(request.Service)
	if !ok || spec.Kind != kind {
		return newInvalid(fmt.Sprintf("no %s service named %q", kind, request.Service))
	}
	for _, prefix := range spec.AtMostOncePaths {
		if strings.HasPrefix(request.Path, prefix) && !isSafe(request.Method) {
			request.AtMostOnce = true
		}
	}
	request.AtMostOnce = request.AtMostOnce || request.Key != ""
	return nil
}

// isSafe reports whether method is a safe (read-only) method as defined by HTTP.
func isSafe(method string) bool {
	return method == http.MethodGet || method == http.MethodHead
}

// serveCall reads a call, forwards it and writes its answer. Prepare sets the
// fields of the request that depend on the kind of call.
func (r *Receiver) serveCall(w http.ResponseWriter, incoming *http.Request, prepare func(*banyanplank.Request) error) {
	if !r.ready() {
		writeRefusal(w, newRefusal(banyanplank.ReasonStale, "the configuration of this entry is not loaded yet"))
		return
	}
	request, reservation, err := r.readRequest(w, incoming)
	if err != nil {
		writeRefusal(w, err)
		return
	}
	defer reservation.Release()
	if err := prepare(request); err != nil {
		writeRefusal(w, err)
		return
	}
	location, err := parseEventID(incoming.Header.Get(headerLastEventID), request)
	if err != nil {
		writeRefusal(w, err)
		return
	}
	start := time.Now()
	answer, err := r.forwarder.Forward(incoming.Context(), request, location)
	if err != nil {
		r.recordOutcome(request, callResult{err: err, elapsed: time.Since(start), callerGone: isCallerGone(incoming, err)})
		writeRefusal(w, err)
		return
	}
	defer answer.Close()
	result, err := copyAnswer(w, answer, start)
	result.err = err
	result.status = answer.Head().Status
	result.callerGone = isCallerGone(incoming, err)
	r.recordOutcome(request, result)
	if err != nil {
		// The status is already sent, so only an aborted connection shows that
		// the answer is incomplete.
		panic(http.ErrAbortHandler)
	}
}

// copyAnswer writes the answer to w and measures the times between its parts.
func copyAnswer(w http.ResponseWriter, answer forwarder.Delivery, start time.Time) (result callResult, err error) {
	head := answer.Head()
	writer := newAnswerWriter(w, head)
	latest := start
	for {
		part, err := answer.Next()
		now := time.Now()
		result.elapsed = now.Sub(start)
		if errors.Is(err, io.EOF) {
			return result, errors.Mark(writer.writeEnd(), errCallerGone)
		}
		if err != nil {
			return result, writer.writeError(err)
		}
		if result.timeToFirst == 0 {
			result.timeToFirst = result.elapsed
		} else {
			result.maxGap = max(result.maxGap, now.Sub(latest))
		}
		if err := writer.writePart(part, answer.Location()); err != nil {
			return result, errors.Mark(err, errCallerGone)
		}
		// The time to write the part depends on the caller, not on the service.
		latest = time.Now()
	}
}
