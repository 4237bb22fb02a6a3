package receiver

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/coordination/forwarder"
)

// headerLastEventID is the header field for the id of the last event that the
// caller received.
const headerLastEventID = "Last-Event-ID"

// formatEventID returns the id of an event, such as "12/5f3c.0/agent-7": the
// number of parts up to and including it, the attempt and the agent that has the
// rest of the answer.
func formatEventID(parts uint64, location forwarder.Location) (id string) {
	return strconv.FormatUint(parts, 10) + "/" + string(location.Attempt) + "/" + string(location.Daemon)
}

// parseEventID parses the id of the last event that the caller received and sets
// the offset of the request. The location is nil if id is empty.
func parseEventID(id string, request *banyanplank.Request) (location *forwarder.Location, err error) {
	if id == "" {
		return nil, nil
	}
	fields := strings.SplitN(id, "/", 3)
	if len(fields) != 3 || fields[1] == "" || fields[2] == "" {
		return nil, newInvalid(fmt.Sprintf("%s is %q, want the id of an event of the same answer", headerLastEventID, id))
	}
	request.Offset, err = strconv.ParseUint(fields[0], 10, 64)
	if err != nil {
		return nil, newInvalid(fmt.Sprintf("%s is %q, want the id of an event of the same answer", headerLastEventID, id))
	}
	return &forwarder.Location{
		Attempt: banyanplank.AttemptID(fields[1]),
		Daemon:  banyanplank.DaemonID(fields[2]),
	}, nil
}
