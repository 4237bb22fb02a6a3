package receiver

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/banyanplank/banyanplank"
)

// Ticket is the answer of POST /v1/tickets/SERVICE.
type Ticket struct {
	// Key goes into the Idempotency-Key header of the call.
	Key string `json:"key"`
	// Until is when the key expires if it has not been used.
	Until time.Time `json:"until"`
}

// serveTicket gives the caller a key for one call that must not be repeated.
func (r *Receiver) serveTicket(w http.ResponseWriter, incoming *http.Request, params httprouter.Params) {
	account, err := r.authenticate(incoming)
	if err != nil {
		writeRefusal(w, err)
		return
	}
	service := banyanplank.ServiceName(params.ByName("service"))
	if _, ok := r.keeper.View().Service(service); !ok {
		writeRefusal(w, invalid(fmt.Sprintf("there is no service called %q", service)))
		return
	}
	ticket, err := r.forwarder.Ticket(time.Now(), account.Name, service, string(r.identify()))
	if err != nil {
		writeRefusal(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	_ = json.NewEncoder(w).Encode(Ticket{Key: ticket.String(), Until: ticket.Until.UTC()})
}
