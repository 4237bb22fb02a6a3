package receiver

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/coordination/forwarder"
)

// headerLastEvent names the last event that a caller has of a cut answer.
const headerLastEvent = "Last-Event-ID"

// formatEventID returns the id of an event: the number of parts up to and with
// it, and where the rest of the answer is, as in "12/5f3c.0/agent-7".
func formatEventID(parts uint64, place forwarder.Place) (id string) {
	return strconv.FormatUint(parts, 10) + "/" + string(place.Attempt) + "/" + string(place.Daemon)
}

// parseEventID reads the id of the last event that the caller has, and sets
// the request's offset by it. The place is nil when there is none.
func parseEventID(id string, request *banyanplank.Request) (place *forwarder.Place, err error) {
	if id == "" {
		return nil, nil
	}
	fields := strings.SplitN(id, "/", 3)
	if len(fields) != 3 || fields[1] == "" || fields[2] == "" {
		return nil, invalid(fmt.Sprintf("%s is %q, want the id of an event of the same answer", headerLastEvent, id))
	}
	request.Offset, err = strconv.ParseUint(fields[0], 10, 64)
	if err != nil {
		return nil, invalid(fmt.Sprintf("%s is %q, want the id of an event of the same answer", headerLastEvent, id))
	}
	return &forwarder.Place{
		Attempt: banyanplank.AttemptID(fields[1]),
		Daemon:  banyanplank.DaemonID(fields[2]),
	}, nil
}
