package soak

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanplank/banyanplank/platform/mimic"
)

// The limits that the checks apply; they are those of the users' requirements.
const (
	// settleTime is how long no fault must have been active before a time limit applies.
	settleTime = 4 * time.Second
	// propagationLimit is the longest time until an operator's change is in force.
	propagationLimit = 5 * time.Second
	// recoveryLimit is the longest time from the last fault until calls are served again.
	// recoveredShare is the fraction of calls that must be served from then on.
	recoveryLimit  = 12 * time.Second
	recoveredShare = 0.99
)

// Promise is the result of checking one guaranteed property.
type Promise struct {
	Name string `json:"name"`
	// Checked is the number of cases checked, and Broken describes each violation.
	Checked int      `json:"checked"`
	Broken  []string `json:"broken"`
}

// exclusion states that a zone, server or account must run no calls in a time span. A zero
// until means that the span has no end.
type exclusion struct {
	zone    string
	server  string
	account string
	from    time.Time
	until   time.Time
}

// matches reports whether the exclusion applies to a run.
func (e exclusion) matches(r mimic.Run) bool {
	return (e.zone != "" && r.Zone == e.zone) || (e.server != "" && r.Server == e.server) || (e.account != "" && r.Account == e.account)
}

// span is a time span, such as that of a fault.
type span struct{ begin, end time.Time }

// isDialError reports whether a call failed before it was sent.
func isDialError(err error) bool {
	var failure *net.OpError
	return errors.As(err, &failure) && failure.Op == "dial"
}

// isFaultFree reports whether no fault was active in the period d before t.
func (h *harness) isFaultFree(t time.Time, d time.Duration) bool {
	for _, s := range h.faultSpans {
		if s.begin.Before(t) && s.end.After(t.Add(-d)) {
			return false
		}
	}
	return true
}

// check checks all promises against what callers and servers recorded.
func (h *harness) check(records []*record) (promises []Promise) {
	runs := h.runLog.Runs()
	byAttempt := make(map[string][]mimic.Run, len(runs))
	for _, r := range runs {
		if !r.Rejected {
			byAttempt[r.Attempt] = append(byAttempt[r.Attempt], r)
		}
	}
	return []Promise{
		checkAtMostOnce(records, byAttempt), checkRefusals(records, byAttempt), checkAnswers(records),
		h.checkExclusions(runs), h.checkVersions(records), h.checkPlannedStops(records), h.checkProcesses(), h.checkRecovery(records),
		h.checkCrashes(runs), h.checkPauses(records, runs),
	}
}

func (p *Promise) addViolation(format string, values ...any) {
	p.Broken = append(p.Broken, fmt.Sprintf(format, values...))
}

func checkAtMostOnce(records []*record, runs map[string][]mimic.Run) (p Promise) {
	p.Name = "a call that must not be repeated runs at most once"
	for _, r := range records {
		if r.Path != "once" {
			continue
		}
		p.Checked++
		if n := len(runs[r.Attempt]); n > 1 {
			p.addViolation("%s ran %d times", r.Attempt, n)
		}
	}
	return p
}

func checkRefusals(records []*record, runs map[string][]mimic.Run) (p Promise) {
	p.Name = "a refused call has not run"
	for _, r := range records {
		if r.err != nil || r.reply.Status != http.StatusServiceUnavailable {
			continue
		}
		p.Checked++
		if len(runs[r.Attempt]) > 0 && r.Path == "once" {
			p.addViolation("%s was refused by %s but ran on %s", r.Attempt, r.entry, runs[r.Attempt][0].Server)
		}
	}
	return p
}

func checkAnswers(records []*record) (p Promise) {
	p.Name = "an answer that looks whole is whole and the caller's own"
	for _, r := range records {
		if !r.isServed() {
			continue
		}
		p.Checked++
		if !r.reply.Correct {
			p.addViolation("%s received a wrong answer", r.Attempt)
		}
	}
	return p
}

// checkExclusions checks that evacuated zones, leaving servers and revoked keys get no calls.
func (h *harness) checkExclusions(runs []mimic.Run) (p Promise) {
	p.Name = "zones out of service, leaving servers and revoked keys get no calls"
	for _, e := range h.exclusions {
		for _, r := range runs {
			if r.At.Before(e.from) || (!e.until.IsZero() && r.At.After(e.until)) || !h.isFaultFree(r.At, settleTime) {
				continue
			}
			p.Checked++
			if e.matches(r) {
				p.addViolation("%s ran on %s in zone %s for account %s, %s after the limit", r.Attempt, r.Server, r.Zone, r.Account, r.At.Sub(e.from))
			}
		}
	}
	return p
}

// checkVersions checks that each configuration takes effect in time and that no entry
// reverts to an earlier one.
func (h *harness) checkVersions(records []*record) (p Promise) {
	p.Name = "configurations come into force and don't go back"
	ordered := slices.Clone(records)
	slices.SortFunc(ordered, func(a, b *record) int { return a.begin.Compare(b.begin) })
	type entryPath struct{ entry, path string }
	inForceSince, lastServed := make(map[entryPath]time.Time), make(map[entryPath]time.Time)
	for _, r := range ordered {
		accepted, found := h.acceptedAt[r.Path]
		// An entry that knows no routes yet responds with 503 too.
		if !found || r.err != nil || r.reply.Status == http.StatusServiceUnavailable {
			continue
		}
		p.Checked++
		key := entryPath{r.entry.String(), r.Path}
		switch {
		case r.reply.Status != http.StatusNotFound:
			if inForceSince[key].IsZero() {
				inForceSince[key] = r.end
			}
			lastServed[key] = r.begin
		case !inForceSince[key].IsZero() && r.begin.After(inForceSince[key]) && !h.couldHaveLost(r, lastServed[key]):
			p.addViolation("%s: %s returned 404 for %s after the route was in force", r.Attempt, r.entry, r.Path)
		case r.begin.After(accepted.Add(propagationLimit)) && h.isFaultFree(r.begin, settleTime):
			p.addViolation("%s: %s returned 404 for %s, %s after the store accepted it", r.Attempt, r.entry, r.Path, r.begin.Sub(accepted))
		}
	}
	return p
}

// checkPlannedStops checks that a planned stop interrupts no calls in the absence of faults.
func (h *harness) checkPlannedStops(records []*record) (p Promise) {
	p.Name = "a planned stop cuts nothing"
	for _, e := range h.entries {
		for _, s := range h.plannedStops[e] {
			for _, r := range records {
				if r.entry != e.callerAddress || r.end.Before(s.begin) || r.begin.After(s.end) || !h.isFaultFree(r.end, settleTime) {
					continue
				}
				p.Checked++
				if (r.err != nil && !isDialError(r.err)) || (r.err == nil && !r.reply.Complete) {
					p.addViolation("%s at %s was interrupted %s after the stop began: %v", r.Attempt, e.name, r.end.Sub(s.begin), r.err)
				}
			}
			if took := s.end.Sub(s.begin); took > gracePeriod+time.Second {
				p.addViolation("%s took %s to stop", e.name, took)
			}
		}
	}
	return p
}

func (h *harness) checkProcesses() (p Promise) {
	p.Name = fmt.Sprintf("an entry runs until it is told to end, in %d MB", memoryLimit>>20)
	for _, e := range h.entries {
		p.Checked++
		if e.unexpectedExits > 0 {
			p.addViolation("%s exited %d times without being stopped", e.name, e.unexpectedExits)
		}
		if e.peakMemory > memoryLimit {
			p.addViolation("%s used %d MB of resident memory", e.name, e.peakMemory>>20)
		}
	}
	return p
}

// checkRecovery checks that calls are served again after the faults of each round.
func (h *harness) checkRecovery(records []*record) (p Promise) {
	p.Name = "service is back within 12 s"
	for i, phase := range h.faultFreePhases {
		total, unserved, last := 0, 0, time.Duration(0)
		for _, r := range records {
			if r.begin.Before(phase.begin) || r.begin.After(phase.end) || r.Key != permanentKey {
				continue
			}
			if _, versioned := h.acceptedAt[r.Path]; versioned || isDialError(r.err) {
				continue
			}
			after := r.begin.Sub(phase.begin)
			if !r.isServed() {
				last = max(last, after)
			}
			if after > recoveryLimit {
				total++
				if !r.isServed() {
					unserved++
				}
			}
		}
		p.Checked += total
		h.recoveries = append(h.recoveries, last)
		if total == 0 || float64(unserved) > (1-recoveredShare)*float64(total) {
			p.addViolation("round %d: %d of %d calls unserved", i+1, unserved, total)
		}
	}
	return p
}
