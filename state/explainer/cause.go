package explainer

import (
	"fmt"
	"strings"
)

// describeOutcome describes why the call logged in l ended.
func describeOutcome(l *Line) (text string) {
	switch l.Fields["outcome"] {
	case "served":
		return describeServed(l)
	case "refused":
		return "refused, and not run: " + describeRefused(l)
	case "left":
		return fmt.Sprintf("the caller disconnected after %s ms, %s", l.Fields["total"], describeAttempts(l))
	case "cut":
		return fmt.Sprintf("the stream was interrupted after %s events, %s: %s", orNone(l.Fields["events"]), describeAttempts(l), l.Fields["detail"])
	case "failed":
		return "it may have run, " + describeAttempts(l) + ": " + describeFailed(l)
	case "invalid":
		return "rejected by the active routes, version " + orNone(l.Fields["routing"]) + ": " + strings.Trim(l.Fields["detail"], " /")
	default:
		return "ended without a response: " + orNone(l.Fields["detail"])
	}
}

// describeServed describes a completed call: its latency, retries, queueing and stalls.
func describeServed(l *Line) (text string) {
	text = fmt.Sprintf("served after %s ms by %s", l.Fields["first"], lastOrNone(l.list("tried")))
	if l.number("sends") > 1 {
		text += fmt.Sprintf(", the last of %s endpoints", l.Fields["sends"])
	}
	if l.number("waited") >= 1 {
		text += fmt.Sprintf(", including %s ms in the queue", l.Fields["waited"])
	}
	if pause := l.Fields["pause"]; pause != "" {
		text += fmt.Sprintf(", with gaps of up to %s ms between events", pause)
	}
	return text
}

// describeRefused describes why a call was refused.
func describeRefused(l *Line) (text string) {
	detail := l.Fields["detail"]
	switch l.Fields["reason"] {
	case "suspect":
		return "endpoints ended while they ran the same request"
	case "overload":
		if l.number("sends") > 0 {
			return fmt.Sprintf("%s declined it, and the retry budget or the attempts were used up", strings.Join(l.list("tried"), ", "))
		}
		return "all endpoints were busy, or no slot became free while it queued for " + l.Fields["waited"] + " ms"
	case "no_endpoint":
		_, explanation, _ := strings.Cut(detail, "no_endpoint: ")
		return "no endpoint is eligible: " + explanation
	case "unreachable":
		return "could not connect to " + strings.Join(l.list("tried"), ", ") + ", or found other endpoints at those addresses"
	}
	return strings.Trim(detail, " /")
}

// describeFailed returns the detail of a failed call and points out the time limit, which
// is logged as status 504.
func describeFailed(l *Line) (text string) {
	if l.Fields["status"] == "504" {
		return "no complete response within the time limit: " + l.Fields["detail"]
	}
	return l.Fields["detail"]
}

// describeAttempts lists the endpoints that a call was sent to, and their load at that time.
func describeAttempts(l *Line) (text string) {
	tried := l.list("tried")
	if len(tried) == 0 {
		return "not sent to any endpoint"
	}
	return fmt.Sprintf("sent to %s, which had %s calls from this entry and %s from others, with a limit of %s",
		strings.Join(tried, " and "), orNone(l.Fields["own"]), orNone(l.Fields["others"]), orNone(l.Fields["limit"]))
}

// lastOrNone returns the last of names, or "none" if there are none.
func lastOrNone(names []string) (name string) {
	if len(names) == 0 {
		return "none"
	}
	return names[len(names)-1]
}

// orNone returns value, or "none" if the line has no such field.
func orNone(value string) string {
	if value == "" {
		return "none"
	}
	return value
}
