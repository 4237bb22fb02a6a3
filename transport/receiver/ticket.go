package receiver

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/banyanplank/banyanplank"
)

// Ticket is the response to POST /v1/tickets/SERVICE.
type Ticket struct {
	// Key is the value of the Idempotency-Key header for the call.
	Key string `json:"key"`
	// Until is when an unused key expires.
	Until time.Time `json:"until"`
}

// serveTicket returns a key for one non-repeatable call.
func (r *Receiver) serveTicket(w http.ResponseWriter, incoming *http.Request, params httprouter.Params) {
	account, err := r.authenticate(incoming)
	if err != nil {
		writeRefusal(w, err)
		return
	}
	service := banyanplank.ServiceName(params.ByName("service"))
	if _, ok := r.keeper.View().Service(service); !ok {
		writeRefusal(w, newInvalid(fmt.Sprintf("no service named %q", service)))
		return
	}
	ticket, err := r.forwarder.Ticket(time.Now(), account.Name, service, string(r.newRequestID()))
	if err != nil {
		writeRefusal(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	_ = json.NewEncoder(w).Encode(Ticket{Key: ticket.String(), Until: ticket.Expiry.UTC()})
}
