package explainer

import (
	"fmt"
	"strings"
)

// cause returns why a call ended as its line tells, in words.
func cause(l *Line) (words string) {
	switch l.Fields["outcome"] {
	case "served":
		return served(l)
	case "refused":
		return "refused, and not run: " + refused(l)
	case "left":
		return fmt.Sprintf("the caller left after %s ms, %s", l.Fields["total"], sent(l))
	case "cut":
		return fmt.Sprintf("the stream was cut after %s events, %s: %s", orNone(l.Fields["events"]), sent(l), l.Fields["detail"])
	case "failed":
		return "it may have run, " + sent(l) + ": " + failed(l)
	case "invalid":
		return "refused by the routes in force, version " + orNone(l.Fields["routing"]) + ": " + strings.Trim(l.Fields["detail"], " /")
	default:
		return "ended without an answer: " + orNone(l.Fields["detail"])
	}
}

// served tells how long the answer took.
func served(l *Line) (words string) {
	words = fmt.Sprintf("served after %s ms by %s", l.Fields["first"], last(l.list("tried")))
	if l.number("sends") > 1 {
		words += fmt.Sprintf(", the last of %s endpoints", l.Fields["sends"])
	}
	if l.number("waited") >= 1 {
		words += fmt.Sprintf(", of which %s ms it waited for a place", l.Fields["waited"])
	}
	if pause := l.Fields["pause"]; pause != "" {
		words += fmt.Sprintf(", with a pause of %s ms between two events at most", pause)
	}
	return words
}

// refused tells why a call was refused.
func refused(l *Line) (words string) {
	detail := l.Fields["detail"]
	switch l.Fields["reason"] {
	case "suspect":
		return "endpoints ended while they ran the same request"
	case "overload":
		if l.number("sends") > 0 {
			return fmt.Sprintf("%s turned it away, and the budget of repeats or the attempts were used up", strings.Join(l.list("tried"), ", "))
		}
		return "all endpoints were busy, or no place came free while it waited " + l.Fields["waited"] + " ms"
	case "no_endpoint":
		_, why, _ := strings.Cut(detail, "no_endpoint: ")
		return "no endpoint may get work: " + why
	case "unreachable":
		return "no connection to " + strings.Join(l.list("tried"), ", ") + ", or other endpoints at their addresses"
	}
	return strings.Trim(detail, " /")
}

// failed tells what is known of a call that failed.
func failed(l *Line) (words string) {
	if l.Fields["status"] == "504" {
		return "no whole answer by the time limit: " + l.Fields["detail"]
	}
	return l.Fields["detail"]
}

// sent tells where a call was sent.
func sent(l *Line) (words string) {
	tried := l.list("tried")
	if len(tried) == 0 {
		return "sent nowhere"
	}
	return fmt.Sprintf("sent to %s, which had %s calls of this entry and %s of others, of %s at most",
		strings.Join(tried, " and "), orNone(l.Fields["own"]), orNone(l.Fields["others"]), orNone(l.Fields["limit"]))
}

// last returns the last of some names.
func last(names []string) (name string) {
	if len(names) == 0 {
		return "none"
	}
	return names[len(names)-1]
}

// orNone returns a word for a field that a line does not have.
func orNone(value string) string {
	if value == "" {
		return "none"
	}
	return value
}
